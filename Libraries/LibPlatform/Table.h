#pragma once

/// @file
/// The platform's transactional table service.

#include <LibBase/Verdict.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinc {

/// Version of a key that has no row.
inline constexpr std::uint64_t kAbsentVersion = 0;

/// One row as read; its version rises with every write of the key and is never reused.
struct Row
{
  std::string key;
  std::string value;
  std::uint64_t version = kAbsentVersion;
};

/// Holds if the key is at this version when the transaction commits.
struct Condition
{
  std::string key;
  std::uint64_t version = kAbsentVersion;
};

/// Writes a value, or deletes the row if there is none.
struct Write
{
  std::string key;
  std::optional<std::string> value;
};

/// All writes take effect together if all conditions hold, else none do.
struct Transaction
{
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

/// How a transaction ended when the table answered.
enum class CommitOutcome : std::uint8_t
{
  Committed,
  ConditionFailed,
};

/// A page of rows in key order.
struct ListRequest
{
  std::string prefix;
  /// Only keys after this one; empty to start at the first.
  std::string after;
  std::size_t limit = 1000;
};

/// Asynchronous client of the table service. Handlers run on the control thread, never inside the
/// call that was given them. A verdict with @ref RunState::MayHaveRun means that the reply was
/// lost.
class Table
{
public:
  template<typename T>
  using Handler = std::function<void(Result<T>)>;

  virtual ~Table() = default;

  /// Commits a transaction.
  virtual void Commit(Transaction aTransaction, Handler<CommitOutcome> aHandler) = 0;

  /// Reads one row; empty if the key has none.
  virtual void Read(std::string aKey, Handler<std::optional<Row>> aHandler) = 0;

  /// Lists rows by key prefix.
  virtual void List(ListRequest aRequest, Handler<std::vector<Row>> aHandler) = 0;
};

}
