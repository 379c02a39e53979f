#pragma once

namespace zinc::cell {

class AdviceDesk;
class Conductor;
class Intake;
class Leadership;
class TableFollower;
struct CellPolicy;
struct Job;
struct JobSpecification;
struct Worker;

}
