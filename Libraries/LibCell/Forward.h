#pragma once

namespace zinc::cell {

class AdviceDesk;
class Conductor;
class Intake;
class JobBook;
class Leadership;
class TableFollower;
class WorkerRoster;
struct CellPolicy;
struct Job;
struct JobSpecification;
struct Worker;

}
