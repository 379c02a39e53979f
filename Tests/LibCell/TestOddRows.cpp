#include <LibCell/Records.h>
#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

std::string
Nest(int aDepth)
{
  return std::string(static_cast<std::size_t>(aDepth), '[') +
         std::string(static_cast<std::size_t>(aDepth), ']');
}

/// @return the text with the value of a number field replaced
std::string
ReplaceNumber(std::string aText, std::string_view aField, std::string_view aValue)
{
  const auto begin = aText.find("\"" + std::string(aField) + "\":") + aField.size() + 3;
  const auto end = aText.find_first_of(",}", begin);
  return aText.replace(begin, end - begin, aValue);
}

}

// Guards against calls to another port than the row names: a port out of range must not be cut to
// 16 bits.
TEST(OddRows, APortOutOfRangeMakesARowUnreadable)
{
  const auto instance = EncodeInstanceRecord({ .address = "10.0.0.1", .port = 7420 });
  const auto leader = EncodeLeaderRecord({ .instance = "i", .address = "10.0.0.1", .port = 7420 });
  ASSERT_FALSE(IsError(DecodeInstanceRecord(instance)));
  ASSERT_FALSE(IsError(DecodeLeaderRecord(leader)));
  for (const std::string_view port : { "70000", "-1", "65536", "7420.5" }) {
    EXPECT_TRUE(IsError(DecodeInstanceRecord(ReplaceNumber(instance, "port", port)))) << port;
    EXPECT_TRUE(IsError(DecodeLeaderRecord(ReplaceNumber(leader, "port", port)))) << port;
  }
}

// Guards against a process that ends on a number beyond every integer, or reads it as another one.
TEST(OddRows, ANumberThatIsTooLargeMakesARowUnreadable)
{
  const auto instance = EncodeInstanceRecord({ .heartbeat = 5 });
  const auto leader = EncodeLeaderRecord({ .token = 5 });
  const auto progress = EncodeProgress({ .occurrencesSucceeded = 5 });
  JobSpecification spec{ .id = { "job" } };
  spec.steps.push_back({ .count = 5 });
  const auto job = EncodeSpecification(spec);
  for (const std::string_view number : { "1e400", "1180591620717411303424", "-1" }) {
    EXPECT_TRUE(IsError(DecodeInstanceRecord(ReplaceNumber(instance, "beat", number)))) << number;
    EXPECT_TRUE(IsError(DecodeLeaderRecord(ReplaceNumber(leader, "token", number)))) << number;
    EXPECT_TRUE(IsError(DecodeProgress(ReplaceNumber(progress, "occurrences", number)))) << number;
    EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, ReplaceNumber(job, "count", number))))
      << number;
  }
}

// Guards against a leader that writes beyond its memory: a step waits for earlier ones only.
TEST(OddRows, AStepThatWaitsForALaterOneMakesARowUnreadable)
{
  JobSpecification spec{ .id = { "job" } };
  spec.steps.push_back({ .count = 1 });
  spec.steps.push_back({ .count = 1, .dependsOn = { 0 } });
  EXPECT_FALSE(IsError(DecodeSpecification(spec.id, EncodeSpecification(spec))));
  for (const std::uint32_t step : { 1U, 2U, 4'000'000'000U }) {
    spec.steps.back().dependsOn = { 0, step };
    EXPECT_TRUE(IsError(DecodeSpecification(spec.id, EncodeSpecification(spec)))) << step;
  }
}

// Guards against a process whose stack ends while it reads a row.
TEST(OddRows, ADeeplyNestedRowIsUnreadable)
{
  const auto nested = Nest(10'000);
  const auto text = ReplaceNumber(EncodeInstanceRecord({ .heartbeat = 5 }), "beat", nested);
  for (const auto& row : { nested, text }) {
    EXPECT_TRUE(IsError(DecodeInstanceRecord(row)));
    EXPECT_TRUE(IsError(DecodeLeaderRecord(row)));
    EXPECT_TRUE(IsError(DecodeProgress(row)));
    EXPECT_TRUE(IsError(DecodeSpecification({ "job" }, row)));
  }
}

}
