#include "CellSchedulerFixture.h"

#include <gtest/gtest.h>

namespace zinc::cell::test {

namespace {

using ShortLeaseTest = CellSchedulerFixture;

}

// Guards against tasks that are started again and again, since their worker's lease expires while
// it waits for an end to report.
TEST_F(ShortLeaseTest, RenewsALeaseThatIsShorterThanTheUsualWait)
{
  this->options.maxLease = Milliseconds{ 500 };
  this->options.maxGrantedLease = this->options.maxLease;
  this->entries = { this->workers.Add("w1", 4) };
  this->AcceptJob(MakeJob("job", 2, 1));
  this->BeginTerm();
  this->RunFor(Milliseconds{ 5000 });
  EXPECT_EQ(this->CountStarts("job"), 2U);
}

}
