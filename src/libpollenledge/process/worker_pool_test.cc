#include "pollenledge/process/worker_pool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace pollenledge {
namespace {

TEST(WorkerPoolTest, RunsEveryJobOnce) {
  std::atomic<int> ran = 0;
  {
    WorkerPool pool(4, 100'000);
    std::vector<std::thread> submitters;
    submitters.reserve(4);
    for (int s = 0; s < 4; ++s) {
      submitters.emplace_back([&] {
        for (int i = 0; i < 1000; ++i) {
          EXPECT_TRUE(pool.Submit([&ran] { ++ran; }));
        }
      });
    }
    for (std::thread& submitter : submitters) submitter.join();
  }
  EXPECT_EQ(ran, 4000);
}

TEST(WorkerPoolTest, RejectsJobsWhenTheQueueIsFullAndAfterStop) {
  WorkerPool pool(1, 1);
  std::promise<void> started;
  std::promise<void> gate;
  std::shared_future<void> opened = gate.get_future().share();
  ASSERT_TRUE(pool.Submit([&started, opened] {
    started.set_value();
    opened.wait();
  }));
  started.get_future().wait();
  EXPECT_TRUE(pool.Submit([] {}));
  EXPECT_FALSE(pool.Submit([] {}));
  gate.set_value();
  pool.Stop();
  EXPECT_FALSE(pool.Submit([] {}));
}

}  // namespace
}  // namespace pollenledge
