#include <LibPlatform/Json.h>
#include <LibPlatform/JsonArena.h>
#include <array>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <rapidcheck/gtest.h>

namespace zinc {

namespace {

/// Reads a number with both parsers, which store it as different types.
std::array<std::optional<JsonNumber>, 2>
ReadTwice(const std::string& aText)
{
  const auto text = "[" + aText + "]";
  JsonArena arena;
  return { JsonNumber::Of(ValueOf(ParseJson(text))[0]),
           JsonNumber::Of(FindElement(ValueOf(ParseJson(text, arena)), 0)) };
}

constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();

}

// Guards against an integer that is refused since another encoder wrote it as 6.0, 6e0 or 60e-1.
RC_GTEST_PROP(JsonNumber, ReadsAnIntegerInAllItsForms, ())
{
  const auto integer =
    *rc::gen::inRange<std::int64_t>(-(std::int64_t{ 1 } << 40), std::int64_t{ 1 } << 40);
  for (const auto& form : { fmt::format("{}", integer),
                            fmt::format("{}.0", integer),
                            fmt::format("{}.000", integer),
                            fmt::format("{}e0", integer),
                            fmt::format("{}E+0", integer),
                            fmt::format("{}0e-1", integer) }) {
    for (const auto& number : ReadTwice(form)) {
      RC_ASSERT(number.has_value());
      RC_ASSERT(number->ToInteger(-kMost, kMost) == integer);
      RC_ASSERT(number->ToUnsigned().has_value() == (integer >= 0));
    }
  }
}

// Guards against a count that is rounded, and against a fraction that is rounded the wrong way.
TEST(JsonNumber, RoundsAFractionAsAsked)
{
  for (const auto& number : ReadTwice("2.5")) {
    ASSERT_TRUE(number);
    EXPECT_EQ(number->ToInteger(0, kMost), std::nullopt);
    EXPECT_EQ(number->ToUnsigned(), std::nullopt);
    EXPECT_EQ(number->ToInteger(0, kMost, Fraction::RoundDown), 2);
    EXPECT_EQ(number->ToInteger(0, kMost, Fraction::RoundUp), 3);
    EXPECT_EQ(number->ToInteger(0, 2, Fraction::RoundDown), std::nullopt) << "2.5 is above 2";
    EXPECT_EQ(number->ToInteger(3, 9, Fraction::RoundUp), std::nullopt) << "2.5 is below 3";
  }
  for (const auto& number : ReadTwice("-0.5")) {
    ASSERT_TRUE(number);
    EXPECT_EQ(number->ToInteger(0, kMost, Fraction::RoundUp), std::nullopt) << "it is negative";
  }
}

// Guards against conversions that overflow, and against a double that stands for several integers.
TEST(JsonNumber, RefusesWhatNoIntegerHolds)
{
  for (const auto* text :
       { "1e300", "-1e300", "1e400", "-1e400", "18446744073709551616", "9007199254740993.0" }) {
    for (const auto& number : ReadTwice(text)) {
      ASSERT_TRUE(number) << text;
      EXPECT_EQ(number->ToInteger(-kMost, kMost, Fraction::RoundDown), std::nullopt) << text;
      EXPECT_EQ(number->ToUnsigned(), std::nullopt) << text;
    }
  }
  for (const auto& number : ReadTwice("18446744073709551615")) {
    EXPECT_EQ(number->ToUnsigned(), std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(number->ToInteger(0, kMost), std::nullopt);
  }
  for (const auto* text : { "true", "null", "\"6\"", "[]", "{}" }) {
    for (const auto& number : ReadTwice(text)) {
      EXPECT_FALSE(number) << text;
    }
  }
}

// Guards against a duration that overflows or becomes negative, and against one millisecond too
// much or too little since 1.001 s is no binary fraction.
TEST(JsonNumber, ReadsDurationsUpToTheLongest)
{
  constexpr Milliseconds kSecond{ 1000 };
  const auto read = [](const std::string& aText, Milliseconds aUnit, Fraction aFraction) {
    return ReadTwice(aText)[0]->ToDuration(aUnit, aFraction);
  };
  for (const auto fraction : { Fraction::RoundDown, Fraction::RoundUp, Fraction::Refuse }) {
    EXPECT_EQ(read("4.5", kSecond, fraction), Milliseconds{ 4500 });
    EXPECT_EQ(read("1.001", kSecond, fraction), Milliseconds{ 1001 });
    EXPECT_EQ(read("6e3", Milliseconds{ 1 }, fraction), Milliseconds{ 6000 });
    EXPECT_EQ(read("1e300", kSecond, fraction), kMaxDuration);
    EXPECT_EQ(read("9223372036854775807", kSecond, fraction), kMaxDuration);
    EXPECT_EQ(read("18446744073709551615", kSecond, fraction), kMaxDuration);
    EXPECT_EQ(read("-1", kSecond, fraction), std::nullopt);
    EXPECT_EQ(read("-1e300", kSecond, fraction), std::nullopt);
  }
  EXPECT_EQ(read("0.0004", kSecond, Fraction::RoundDown), Milliseconds{ 0 });
  EXPECT_EQ(read("0.0004", kSecond, Fraction::RoundUp), Milliseconds{ 1 });
  EXPECT_EQ(read("0.0004", kSecond, Fraction::Refuse), std::nullopt);
}

}
