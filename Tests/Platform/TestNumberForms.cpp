#include <LibPlatform/Json.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <functional>
#include <gtest/gtest.h>
#include <json/json.h>
#include <platform/BootSettings.h>
#include <platform/Decoders.h>
#include <platform/WorkerMessages.h>
#include <string>
#include <string_view>
#include <vector>

namespace zinc::platform::test {

namespace {

/// What a decoder made of a message.
struct Reading
{
  /// All that the decoder understood, as text; empty if it refused the message.
  std::string value;
  /// What it says of fields that it could not read.
  std::string faults;
};

/// A valid message and its decoder.
struct Sample
{
  std::string_view name;
  std::string_view text;
  std::function<Reading(const std::string&)> read;
};

/// A number in a message, and the name of the field that holds it, or its array.
struct NumberToken
{
  std::size_t begin = 0;
  std::size_t length = 0;
  std::string field;
};

std::vector<NumberToken>
FindNumbers(std::string_view aText)
{
  std::vector<NumberToken> numbers;
  std::string field;
  for (std::size_t position = 0; position < aText.size(); ++position) {
    if (aText[position] == '"') {
      const auto end = aText.find('"', position + 1);
      if (end + 1 < aText.size() && aText[end + 1] == ':') {
        field = aText.substr(position + 1, end - position - 1);
      }
      position = end;
    } else if (aText[position] >= '0' && aText[position] <= '9') {
      const auto length = std::min(aText.find_first_not_of("0123456789.", position), aText.size());
      numbers.push_back({ position, length - position, field });
      position = length - 1;
    }
  }
  return numbers;
}

std::string
ReplaceNumber(std::string_view aText, const NumberToken& aNumber, std::string_view aBy)
{
  return std::string(aText).replace(aNumber.begin, aNumber.length, aBy);
}

template<typename T>
Reading
Refused(const Result<T>& aResult)
{
  return { .faults = ErrorOf(aResult).message };
}

std::string
Describe(const Resources& aAmount)
{
  return fmt::format("{} {} {}", aAmount.milliCores, aAmount.memoryMiB, aAmount.accelerators);
}

Reading
ReadSettings(const std::string& aText)
{
  const auto decoded = DecodeBootSettings(aText);
  if (IsError(decoded)) {
    return Refused(decoded);
  }
  const auto& settings = ValueOf(decoded);
  return { .value = fmt::format("{} {} {} {} {} {} {} {} {}",
                                settings.peerPort,
                                settings.milliCores,
                                settings.memoryMiB,
                                settings.maxDescriptors,
                                settings.gracePeriod.count(),
                                settings.maxLease.count(),
                                settings.maxStopDuration.count(),
                                settings.statusRetention.count(),
                                settings.evacuationBound.count()),
           .faults = fmt::format("{}", fmt::join(settings.faults, " ")) };
}

Reading
ReadDocument(const std::string& aText)
{
  const auto decoded = DecodeDocument(aText);
  if (IsError(decoded)) {
    return Refused(decoded);
  }
  const auto& policy = ValueOf(decoded);
  auto value = fmt::format("{} {} {}", policy.version, policy.maxBodyBytes, policy.maxHeaderBytes);
  for (const auto& route : policy.routes) {
    const auto& queue = route.queue;
    value += fmt::format(" {} {} {} {} {} {} {} {}",
                         queue.name.value,
                         queue.priority,
                         queue.maxAttempts,
                         queue.stretch,
                         queue.slack.count(),
                         queue.advice.baseMs,
                         queue.advice.perWorkerMs,
                         queue.advice.ticketValidity.count());
  }
  for (const auto& [name, workspace] : policy.workspaces) {
    value += fmt::format(" {} {} {}", name.value, workspace.weight, Describe(workspace.quota));
  }
  return { .value = value, .faults = fmt::format("{}", fmt::join(policy.faults, " ")) };
}

Reading
ReadWorkerEntry(const std::string& aText)
{
  const auto decoded = DecodeWorkerEntry("w", aText);
  if (IsError(decoded)) {
    return Refused(decoded);
  }
  const auto& entry = ValueOf(decoded);
  return { .value = fmt::format(
             "{} {} {}", entry.incarnation, entry.coldLeft.count(), Describe(entry.capacity)),
           .faults = entry.hasUnreadableColdTime ? "ColdLeftMs" : "" };
}

Reading
ReadJob(const std::string& aText)
{
  const auto decoded = DecodeJob(aText);
  if (IsError(decoded)) {
    return Refused(decoded);
  }
  const auto& spec = ValueOf(decoded);
  auto value = fmt::format(
    "{} {} {}", spec.occurrences, spec.firstDue.time_since_epoch().count(), spec.interval.count());
  for (const auto& step : spec.steps) {
    value += fmt::format(" {} {} {} [{}] {} {} {}",
                         step.count,
                         Describe(step.demand),
                         step.estimate.count(),
                         fmt::join(step.dependsOn, " "),
                         step.maxTasksPerWorker,
                         step.tailLatencyTarget.count(),
                         step.availabilityBudget);
  }
  return { .value = value };
}

Reading
ReadReport(const std::string& aText)
{
  std::size_t unreadable = 0;
  const auto decoded = DecodeReport(aText, unreadable);
  if (IsError(decoded)) {
    return Refused(decoded);
  }
  const auto& report = ValueOf(decoded);
  auto value = fmt::format("{} {}", report.clockMs, report.incarnation);
  for (const auto& run : report.activeRuns) {
    value += fmt::format(" {} {} {}", run.run, run.progressPercent, run.load);
  }
  for (const auto& run : report.endedRuns) {
    value += fmt::format(" {} {}", run.sequence, run.run);
  }
  return { .value = value, .faults = unreadable > 0 ? "Running Ended" : "" };
}

/// Each number differs from the default of its field.
const std::vector<Sample>&
Samples()
{
  static const std::vector<Sample> samples = {
    { .name = "settings",
      .text = R"({"Node":"n","Zone":"z","Ip":"10.0.0.1","Listen":{"Front":"10.0.0.1:81",
"Ready":"10.0.0.1:82"},"PortRange":[7400,7410],"Limits":{"CpuShare":0.25,"Cores":2,"MemoryMb":160,
"MaxFds":4100,"LinkMbps":1000.0},"Bounds":{"SeedLagS":3,"GraceS":7,"HoldMaxMs":9000,"KillGraceMs":900,
"status_s":60,"EvacMs":4000,"QuotaExcess":0.1,"MoveS":1.5},"platform":{"Address":"10.0.0.9:80"}})",
      .read = &ReadSettings },
    { .name = "document",
      .text = R"({"Version":12,"Routes":[{"Name":"q","Host":"h","PathPrefix":"/a/","Service":"s",
"Priority":2,"SloMs":250,"TimeoutMs":3000,"Attempts":3,"Stretch":1.5,"Advice":{"DecideMs":5.5,
"EachMs":0.25,"ValidMs":1500}},{"Name":"r","Host":"h","PathPrefix":"/b/","Service":"s"}],
"Services":[{"Name":"s","MaxConns":64}],"Limits":{"BodyBytes":1000,"HeaderBytes":2000},
"Tenants":[{"Name":"t","ApiKeys":["k"],"Weight":38,"Maximum":{"Cpu":5000,"MemMb":600,"Gpus":4}},
{"Name":"u","ApiKeys":["l"]}]})",
      .read = &ReadDocument },
    { .name = "worker",
      .text =
        R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Seq":4,"Slots":8,
"Capacity":{"Cpu":32000,"MemMb":65536,"Gpus":4},"Labels":["a","r1"],"Machine":"m","born":17,
"ColdLeftMs":2000})",
      .read = &ReadWorkerEntry },
    { .name = "job",
      .text = R"({"Spec":"text","Phases":[{"Count":4,"Cpu":500,"MemMb":256,"Gpus":1,
"EstimateMs":900},{"Count":20,"Cpu":2000,"After":[0],"AntiAffinity":3,"TargetMs":250,"MayMiss":2}],
"Times":2,"InitialDelayMs":1800000000000,"IntervalMs":50})",
      .read = &ReadJob },
    { .name = "report",
      .text = R"({"ClockMs":482113,"born":17,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00b",41,500]],
"Ended":[[58,"5c0e7a21d94b36f8.0.1.9",3,"done",""]]})",
      .read = &ReadReport },
  };
  return samples;
}

/// Calls a function with each number of each sample.
void
ForEachNumber(const std::function<void(const Sample&, const NumberToken&)>& aFunction)
{
  for (const auto& sample : Samples()) {
    for (const auto& number : FindNumbers(sample.text)) {
      SCOPED_TRACE(fmt::format("{}: {} at {}", sample.name, number.field, number.begin));
      aFunction(sample, number);
    }
  }
}

/// @return true if the decoder does not look at the number
bool
IsIgnored(const Sample& aSample, const NumberToken& aNumber)
{
  return aSample.read(ReplaceNumber(aSample.text, aNumber, "[]")).value ==
           aSample.read(std::string(aSample.text)).value &&
         aSample.read(ReplaceNumber(aSample.text, aNumber, "[]")).faults.empty();
}

}

// Guards against a process, a document, a worker or a job that is lost since another encoder writes
// 6 as 6.0 or 6e0 (review case 12).
TEST(NumberForms, ReadTheSameInAllMessages)
{
  ForEachNumber([](const Sample& aSample, const NumberToken& aNumber) {
    const auto expected = aSample.read(std::string(aSample.text)).value;
    ASSERT_FALSE(expected.empty());
    const auto digits = std::string(aSample.text.substr(aNumber.begin, aNumber.length));
    const bool isFraction = digits.find('.') != std::string::npos;
    for (const auto& form : { digits + (isFraction ? "0" : ".0"),
                              digits + "e0",
                              digits + "E+00",
                              digits == "0" ? "0e-1" : digits + (isFraction ? "00e-0" : "0e-1") }) {
      const auto reading = aSample.read(ReplaceNumber(aSample.text, aNumber, form));
      EXPECT_EQ(reading.value, expected) << form;
      EXPECT_EQ(reading.faults, "") << form;
    }
  });
}

// Guards against a fraction that is taken for absent in silence. It is read, rounded or refused.
TEST(NumberForms, AFractionIsReadOrNamed)
{
  ForEachNumber([](const Sample& aSample, const NumberToken& aNumber) {
    if (IsIgnored(aSample, aNumber)) {
      return;
    }
    const auto digits = std::string(aSample.text.substr(aNumber.begin, aNumber.length));
    const bool isFraction = digits.find('.') != std::string::npos;
    const auto reading =
      aSample.read(ReplaceNumber(aSample.text, aNumber, digits + (isFraction ? "5" : ".5")));
    const auto absent = aSample.read(ReplaceNumber(aSample.text, aNumber, "null"));
    const bool isNamed = reading.faults.find(aNumber.field) != std::string::npos;
    EXPECT_TRUE(isNamed || (!reading.value.empty() && reading.value != absent.value))
      << reading.value << " " << reading.faults;
  });
}

// Guards against an end, an overflow or a silent default for what is no number, negative or beyond
// every type. Only settings without addresses, a document without version and a foreign message are
// refused whole.
TEST(NumberForms, AnUnreadableNumberIsNamed)
{
  ForEachNumber([](const Sample& aSample, const NumberToken& aNumber) {
    if (IsIgnored(aSample, aNumber)) {
      return;
    }
    for (const auto* text : { "\"six\"", "\"\"", "true", "[]", "{}", "-1", "-0.5" }) {
      const auto reading = aSample.read(ReplaceNumber(aSample.text, aNumber, text));
      EXPECT_NE(reading.faults.find(aNumber.field), std::string::npos)
        << text << ": " << reading.value << " " << reading.faults;
      const bool isEssential = aNumber.field == "PortRange" || aNumber.field == "Version";
      const bool hasDefaults = aSample.name == "settings" || aSample.name == "document";
      EXPECT_EQ(reading.value.empty() && hasDefaults, isEssential && hasDefaults) << text;
    }
    const auto absent = aSample.read(ReplaceNumber(aSample.text, aNumber, "null"));
    for (const auto* text : { "1e300", "1e400", "9223372036854775807", "18446744073709551616" }) {
      const auto reading = aSample.read(ReplaceNumber(aSample.text, aNumber, text));
      EXPECT_EQ(reading.value.find('-'), std::string::npos) << text << ": " << reading.value;
      const bool isNamed = reading.faults.find(aNumber.field) != std::string::npos;
      EXPECT_TRUE(isNamed || reading.value != absent.value) << text << ": " << reading.value;
    }
  });
}

}
