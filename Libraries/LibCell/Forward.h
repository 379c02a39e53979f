#pragma once

/// @file
/// Forward declarations of the library.

namespace zinc::cell {

class AdviceDispatcher;
class CellScheduler;
class EndedJobArchive;
class EndedJobCompactor;
class EvacuatedZones;
class EvacuationDirectory;
class EvacuationReport;
class CompletionForecast;
class Intake;
class LeaderElection;
class LeaseSuspensions;
class LoadReport;
class LostWorkers;
class RankingSelector;
class StepAdvice;
class StepWait;
class TableWatcher;
class UnreadWorkers;
class WorkerDirectory;
class WorkerRanking;
class WorkerSpeeds;
class WorkerTable;
struct Candidate;
struct CellPolicy;
struct ExpectedWait;
struct Job;
struct JobSpecification;
struct LeaderReport;
struct Worker;
struct WorkspaceUsage;

}
