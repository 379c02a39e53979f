#pragma once

namespace zinc {

class Counter;
class Gauge;
class Histogram;
class MetricRegistry;

}
