#include <LibPlatform/Json.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <rapidcheck/gtest.h>

namespace zinc {

namespace {

constexpr JsonBounds kWideBounds{ .values = 1000,
                                  .containers = 1000,
                                  .texts = 1000,
                                  .fractions = 1000 };

std::string
AnyText()
{
  return *rc::gen::container<std::string>(rc::gen::element('"', '\\', '[', '{', ',', 'a', '\n'));
}

/// @return any value that is nested at most so deep
Json::Value
AnyValue(int aDepth)
{
  constexpr int kKinds = 8;
  switch (*rc::gen::inRange(aDepth > 0 ? 0 : 2, kKinds)) {
    case 0: {
      Json::Value value(Json::arrayValue);
      for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        value.append(AnyValue(aDepth - 1));
      }
      return value;
    }
    case 1: {
      Json::Value value(Json::objectValue);
      for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        value[AnyText()] = AnyValue(aDepth - 1);
      }
      return value;
    }
    case 2:
      return AnyText();
    case 3:
      return Json::Int64(*rc::gen::arbitrary<std::int64_t>());
    case 4:
      return Json::UInt64(*rc::gen::arbitrary<std::uint64_t>());
    case 5:
      return *rc::gen::arbitrary<int>() / 256.0;
    case 6:
      return *rc::gen::arbitrary<bool>();
    default:
      return {};
  }
}

/// Counts what the tree holds.
void
Count(const Json::Value& aValue, JsonBounds& aCounted)
{
  ++aCounted.values;
  if (aValue.isString()) {
    ++aCounted.texts;
  } else if (aValue.type() == Json::realValue) {
    ++aCounted.fractions;
  } else if (aValue.isArray()) {
    ++aCounted.containers;
    for (const auto& element : aValue) {
      Count(element, aCounted);
    }
  } else if (aValue.isObject()) {
    ++aCounted.containers;
    for (const auto& name : aValue.getMemberNames()) {
      ++aCounted.values;
      ++aCounted.texts;
      Count(aValue[name], aCounted);
    }
  }
}

}

// Guards against a sound message that is refused, and against one beyond a bound that is read.
RC_GTEST_PROP(JsonBounds, CountsWhatTheTreeHolds, ())
{
  Json::Value value(Json::arrayValue);
  value.append(AnyValue(4));
  Json::StreamWriterBuilder builder;
  builder["indentation"] = *rc::gen::element(std::string(), std::string(" "), std::string("\t"));
  const auto text = Json::writeString(builder, value);
  JsonBounds counted;
  Count(value, counted);
  RC_ASSERT(IsWithinBounds(text, counted));
  RC_ASSERT(!IsError(ParseJson(text, counted)));
  for (auto bound : { &JsonBounds::values,
                      &JsonBounds::containers,
                      &JsonBounds::texts,
                      &JsonBounds::fractions }) {
    if (counted.*bound > 0) {
      auto bounds = counted;
      --(bounds.*bound);
      RC_ASSERT(!IsWithinBounds(text, bounds));
      RC_ASSERT(IsError(ParseJson(text, bounds)));
    }
  }
}

RC_GTEST_PROP(JsonBounds, ArbitraryBytesAreReadToTheEndAtMost, ())
{
  const auto text = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  // A number with a fraction has two characters at least.
  RC_ASSERT(IsWithinBounds(text,
                           { .values = text.size(),
                             .containers = text.size(),
                             .texts = text.size(),
                             .fractions = text.size() / 2 }));
}

// Guards against a fault in the text, or one behind an escape, that hides the values beside it.
TEST(JsonBounds, CountsWhatStandsBeforeAFault)
{
  auto bounds = kWideBounds;
  for (const std::string_view text : { "[0,0,0:", R"(["\",",0,0)", R"(["\\",0,")", "[0 0 0" }) {
    bounds.values = 4;
    EXPECT_TRUE(IsWithinBounds(text, bounds)) << text;
    bounds.values = 3;
    EXPECT_FALSE(IsWithinBounds(text, bounds)) << text;
  }
}

TEST(JsonBounds, NumbersThatAreNoIntegersAreFractions)
{
  auto bounds = kWideBounds;
  bounds.fractions = 0;
  for (const std::string_view text :
       { "[18446744073709551615,-9223372036854775808,0]", "[true,false,null]", R"(["1.5e3"])" }) {
    EXPECT_TRUE(IsWithinBounds(text, bounds)) << text;
  }
  for (const std::string_view text : { "[1.5]", "[1e3]", "[-1E3]", "[100000000000000000000]" }) {
    EXPECT_FALSE(IsWithinBounds(text, bounds)) << text;
  }
}

}
