#pragma once

namespace zinc::cell {

class AdviceDispatcher;
class CellScheduler;
class Intake;
class LeaderElection;
class TableWatcher;
struct CellPolicy;
struct Job;
struct JobSpecification;
struct Worker;

}
