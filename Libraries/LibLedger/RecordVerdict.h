#pragma once

/// @file
/// The verdicts on records that did not come to hold.

#include <LibBase/Verdict.h>
#include <LibLedger/ShardState.h>

namespace zinc::detail {

/// @return the verdict, always not run, on a record with this outcome.
[[nodiscard]] Verdict
VerdictOf(RecordOutcome aOutcome);

}
