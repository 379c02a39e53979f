#pragma once

namespace zinc {

class QuotaManager;
class QuotaObserver;
struct QuotaOptions;
struct QuotaStatistics;
struct Grant;
struct TeamQuotaRow;
struct TeamUsage;

}
