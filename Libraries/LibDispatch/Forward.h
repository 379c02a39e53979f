#pragma once

namespace zinc {

class Executor;
class FleetObserver;
class WorkerAgent;
class WorkerFleet;
struct ExecutorEnvironment;

}
