#pragma once

namespace zinc {

class Ledger;
class LedgerObserver;
class ShardLog;
class ShardState;
class WriteBudget;
struct AppendReceipt;
struct Batch;
struct LedgerJob;
struct LedgerOptions;
struct LedgerStatistics;

}
