#include "AllocationCounter.h"

#include <LibPlatform/Json.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <platform/Decoders.h>
#include <string>
#include <string_view>

namespace zinc::platform::test {

namespace {

/// Bytes of a body that callers may send by default.
constexpr std::size_t kBodyBytes = 262'144;

/// @return a job that fills a body with the element
std::string
JobOf(std::string_view aElement)
{
  std::string text = R"({"Phases":[)";
  text += aElement;
  while (text.size() + aElement.size() + 3 <= kBodyBytes) {
    text += ',';
    text += aElement;
  }
  return text + "]}";
}

/// @return the bytes that reading the text allocates
template<typename Reader>
std::size_t
CountBytes(Reader aRead)
{
  const auto before = CountAllocatedBytes();
  aRead();
  return CountAllocatedBytes() - before;
}

}

// Guards against a control thread that is busy with the steps of jobs that are refused for their
// number.
TEST(ReadingCost, StepsBeyondTheLimitAreNotRead)
{
  constexpr std::size_t kMaxExtraBytes = 4096;
  for (const std::string_view step : { "[]", "7", "{\"Count\":1}" }) {
    const auto job = JobOf(step);
    const auto parsing = CountBytes([&job] { EXPECT_FALSE(IsError(ParseJson(job))); });
    const auto decoding = CountBytes([&job] { EXPECT_TRUE(IsError(DecodeJob(job))); });
    EXPECT_LT(decoding, parsing + kMaxExtraBytes) << step;
  }
}

}
