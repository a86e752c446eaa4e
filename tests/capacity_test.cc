#include "oleander/capacity.h"

#include <gtest/gtest.h>

namespace oleander {
namespace {

// Guards against an estimate above a target for the largest deployment of the design.
TEST(Capacity, FullSizeIsWithinTheTargets) {
  CapacityInput input;
  input.hosts = 370;
  input.engines = 2900;
  input.trainers = 10;
  for (const CapacityLine& it : EstimateCapacity(input)) {
    EXPECT_GT(it.value, 0) << it.quantity;
    if (it.limit > 0) {
      EXPECT_LT(it.value, it.limit) << it.quantity;
    }
  }
}

// Guards against an estimate that ignores receipts, the load that reaches the table's write limit first.
TEST(Capacity, ReceiptsReachTheWriteLimit) {
  CapacityInput input;
  input.receipts_per_s = 150;
  for (const CapacityLine& it : EstimateCapacity(input))
    if (it.quantity == "writes per s") {
      EXPECT_GT(it.value, it.limit);
    }
}

}  // namespace
}  // namespace oleander
