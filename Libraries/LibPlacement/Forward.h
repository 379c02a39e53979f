#pragma once

namespace zinc {

class Scheduler;
struct SchedulerLoad;
struct WorkerInfo;

}
