#pragma once

namespace zinc {

class Clock;
class ManualClock;
class SteadyClock;
struct Resources;
struct TaskSpec;
struct Verdict;

}
