#include "pollenledge/process/byte_budget.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace pollenledge {
namespace {

using Activity = ByteBudget::Activity;
using Need = ByteBudget::Need;
using Stage = ByteBudget::Stage;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kBody = 4 * kMegabyte;
/// The smallest machine of the platform.
constexpr std::int64_t kMemoryMb = 120;
constexpr std::int64_t kMaxDescriptors = 3075;

class ByteBudgetTest : public ::testing::Test {
 protected:
  ByteBudget::ClientId Open(const std::string& customer = "",
                            ClientGroup group = ClientGroup::kCallers) {
    const auto slot = std::make_shared<ByteBudget::ClientId>(0);
    ByteBudget::Callbacks callbacks;
    callbacks.evict = [this, slot](Need) {
      evicted_.push_back(*slot);
      budget_.Close(*slot);
    };
    callbacks.has_unhandled_progress = [this, slot] {
      ++questions_;
      return unhandled_.count(*slot) > 0;
    };
    const auto id = budget_.Open(group, std::move(callbacks), now_);
    *slot = id.value_or(0);
    if (id.has_value()) budget_.SetCustomer(*id, customer);
    return *slot;
  }

  /// A client whose request has this announced size. Returns 0 if refused.
  ByteBudget::ClientId OpenReceiving(const std::string& customer,
                                     std::size_t bytes) {
    const ByteBudget::ClientId id = Open(customer);
    budget_.SetActivity(id, Activity::kReceiving, now_);
    if (budget_.TryHold(id, Stage::kRequest, bytes, now_)) return id;
    budget_.Close(id);
    return 0;
  }

  void Wait(Duration duration) { now_ = now_ + duration; }

  ByteBudgetLimits limits_ = MakeByteBudgetLimits(kMemoryMb, kMaxDescriptors);
  ByteBudget budget_{limits_};
  TimePoint now_ = TimePoint() + std::chrono::hours(1);
  std::vector<ByteBudget::ClientId> evicted_;
  /// Clients with bytes that the process has not handled.
  std::set<ByteBudget::ClientId> unhandled_;
  int questions_ = 0;  ///< How many clients were asked about such bytes.
};

// Guards against a crowd whose bodies are over the machine's memory.
TEST_F(ByteBudgetTest, ACrowdHoldsNoMoreThanTheLimit) {
  int admitted = 0;
  for (int i = 0; i < 100; ++i)
    admitted += OpenReceiving("c" + std::to_string(i), kBody) != 0 ? 1 : 0;
  EXPECT_EQ(admitted, 7);
  EXPECT_LE(budget_.large_request_bytes(), limits_.large_request_bytes);
  EXPECT_TRUE(evicted_.empty());  // All of them still make progress.
}

// Guards against large bodies that leave nothing for ordinary requests.
TEST_F(ByteBudgetTest, SmallRequestsFitBesideLargeOnes) {
  while (OpenReceiving("", kBody) != 0) {
  }
  EXPECT_NE(OpenReceiving("", ByteBudget::kSmallBytes), 0U);
}

// Guards against one customer that takes the memory of the others.
TEST_F(ByteBudgetTest, ACustomerGetsItsShareOnly) {
  int admitted = 0;
  while (OpenReceiving("greedy", kBody) != 0) ++admitted;
  EXPECT_EQ(admitted, 5);
  EXPECT_NE(OpenReceiving("other", kBody), 0U);
}

// Guards against a single legal request that a small machine refuses.
TEST_F(ByteBudgetTest, TheOnlyLargeRequestIsAdmitted) {
  ByteBudget small(MakeByteBudgetLimits(15, kMaxDescriptors));
  const auto id = small.Open(ClientGroup::kCallers, {[](Need) {}}, now_);
  small.SetCustomer(*id, "only");
  EXPECT_TRUE(small.TryHold(*id, Stage::kRequest, kBody, now_));
}

// Guards against bodies that stop short and keep others out.
TEST_F(ByteBudgetTest, StalledBodiesMakeRoomLargestFirst) {
  const ByteBudget::ClientId small = OpenReceiving("a", kMegabyte);
  const ByteBudget::ClientId large = OpenReceiving("b", kBody);
  while (OpenReceiving("", kBody) != 0) {
  }
  Wait(limits_.stall_bound);
  EXPECT_NE(OpenReceiving("c", kBody), 0U);
  EXPECT_EQ(evicted_, std::vector<ByteBudget::ClientId>{large});
  EXPECT_NE(small, 0U);
}

// Guards against eviction of bodies that progress, or that are complete.
TEST_F(ByteBudgetTest, ProgressAndCompleteRequestsAreKept) {
  std::vector<ByteBudget::ClientId> clients;
  clients.reserve(7);
  for (int i = 0; i < 7; ++i) clients.push_back(OpenReceiving("", kBody));
  budget_.SetActivity(clients[0], Activity::kServing, now_);
  Wait(limits_.stall_bound);
  for (std::size_t i = 1; i < clients.size(); ++i)
    budget_.OnProgress(clients[i], std::size_t{8} * 1024, now_);
  EXPECT_EQ(OpenReceiving("", kBody), 0U);
  EXPECT_TRUE(evicted_.empty());
}

// Guards against a client that is evicted while it is itself being given room,
// for the few bytes of the response that another one gets at its eviction. Two
// clients evicted each other without end.
TEST_F(ByteBudgetTest, AnEvictionDoesNotEvictTheClientThatAsked) {
  const ByteBudget::ClientId asking = OpenReceiving("", kBody);
  ByteBudget::ClientId refused = 0;
  ByteBudget::Callbacks callbacks;
  callbacks.evict = [&](Need) {
    evicted_.push_back(refused);
    budget_.Hold(refused, Stage::kWriter, 100, now_);
  };
  refused = budget_.Open(ClientGroup::kCallers, callbacks, now_).value_or(0);
  budget_.SetActivity(refused, Activity::kReceiving, now_);
  ASSERT_TRUE(budget_.TryHold(refused, Stage::kRequest,
                              limits_.large_request_bytes - 2 * kBody, now_));
  Wait(limits_.stall_bound);
  EXPECT_TRUE(budget_.TryHold(asking, Stage::kRequest,
                              limits_.large_request_bytes, now_));
  EXPECT_EQ(evicted_, std::vector<ByteBudget::ClientId>{refused});
}

// Guards against a client that keeps its memory by sending a byte a second.
TEST_F(ByteBudgetTest, AByteAtATimeIsNoProgress) {
  std::vector<ByteBudget::ClientId> clients;
  clients.reserve(7);
  for (int i = 0; i < 7; ++i) clients.push_back(OpenReceiving("", kBody));
  Wait(limits_.stall_bound);
  for (const ByteBudget::ClientId id : clients) budget_.OnProgress(id, 1, now_);
  EXPECT_NE(OpenReceiving("", kBody), 0U);
  EXPECT_EQ(evicted_.size(), 1U);
}

// Guards against silent connections that take all descriptors.
TEST_F(ByteBudgetTest, TheOldestIdleConnectionMakesRoom) {
  const ByteBudget::ClientId oldest = Open();
  const ByteBudget::ClientId serving = Open();
  budget_.SetActivity(serving, Activity::kServing, now_);
  const std::size_t bound = limits_.connections[0];
  for (std::size_t i = 2; i < bound; ++i) Open();
  EXPECT_TRUE(evicted_.empty());
  EXPECT_NE(Open(), 0U);
  EXPECT_EQ(evicted_, std::vector<ByteBudget::ClientId>{oldest});
  EXPECT_EQ(budget_.connections(ClientGroup::kCallers), bound);
  // The readiness probe has places of its own.
  EXPECT_NE(Open("", ClientGroup::kOperators), 0U);
  EXPECT_EQ(evicted_.size(), 1U);
}

// Guards against the end of a kept connection whose next request waits unread,
// because the process is late (LOST).
TEST_F(ByteBudgetTest, AnIdleConnectionWithAnUnreadRequestIsPassedOver) {
  const ByteBudget::ClientId oldest = Open();
  const ByteBudget::ClientId second = Open();
  for (std::size_t i = 2; i < limits_.connections[0]; ++i) Open();
  unhandled_ = {oldest};
  EXPECT_NE(Open(), 0U);
  EXPECT_EQ(evicted_, std::vector<ByteBudget::ClientId>{second});
}

// Guards against a process that spends its time on questions to its clients
// when all of them have sent something.
TEST_F(ByteBudgetTest, ABoundedNumberOfClientsIsPassedOver) {
  for (std::size_t i = 0; i < limits_.connections[0]; ++i)
    unhandled_.insert(Open());
  EXPECT_EQ(Open(), 0U);
  EXPECT_TRUE(evicted_.empty());
  EXPECT_LE(questions_, 16);
}

// Guards against the refusal of a body that stands still only because the
// process has not read it for a second (LOST).
TEST_F(ByteBudgetTest, ABodyWithUnreadBytesIsPassedOver) {
  const ByteBudget::ClientId large = OpenReceiving("a", kBody);
  const ByteBudget::ClientId small = OpenReceiving("b", 3 * kMegabyte);
  Wait(limits_.stall_bound);
  unhandled_ = {large};
  for (int i = 0; i < 5; ++i) EXPECT_NE(OpenReceiving("", kBody), 0U);
  EXPECT_NE(OpenReceiving("", kBody), 0U);
  EXPECT_EQ(evicted_, std::vector<ByteBudget::ClientId>{small});
}

// Guards against a client that keeps its memory because a byte of it waits
// unread whenever others need that memory.
TEST_F(ByteBudgetTest, ATrickleIsPassedOverOnceOnly) {
  std::vector<ByteBudget::ClientId> clients;
  clients.reserve(7);
  for (int i = 0; i < 7; ++i) clients.push_back(OpenReceiving("", kBody));
  unhandled_.insert(clients.begin(), clients.end());
  Wait(limits_.stall_bound);
  EXPECT_EQ(OpenReceiving("", kBody), 0U);
  Wait(limits_.stall_bound);
  EXPECT_EQ(OpenReceiving("", kBody), 0U);  // The process is still late.
  for (const ByteBudget::ClientId id : clients) budget_.OnProgress(id, 1, now_);
  Wait(limits_.stall_bound);
  EXPECT_NE(OpenReceiving("", kBody), 0U);
  EXPECT_EQ(evicted_.size(), 1U);
}

// Guards against a new connection that ends the service of others.
TEST_F(ByteBudgetTest, NoConnectionIsOpenedWhenAllAreServed) {
  for (std::size_t i = 0; i < limits_.connections[0]; ++i)
    budget_.SetActivity(Open(), Activity::kServing, now_);
  EXPECT_EQ(Open(), 0U);
  EXPECT_TRUE(evicted_.empty());
}

// Guards against answers that nobody reads.
TEST_F(ByteBudgetTest, UnreadAnswersMakeRoomForNewOnes) {
  std::vector<ByteBudget::ClientId> clients;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(Open());
    budget_.SetActivity(clients.back(), Activity::kSending, now_);
    budget_.Hold(clients.back(), Stage::kWriter, kBody, now_);
  }
  const ByteBudget::ClientId next = Open();
  budget_.SetActivity(next, Activity::kServing, now_);
  EXPECT_FALSE(budget_.Hold(next, Stage::kAnswer, kMegabyte, now_));
  Wait(limits_.stall_bound);
  EXPECT_TRUE(budget_.Hold(next, Stage::kAnswer, 2 * kMegabyte, now_));
  EXPECT_EQ(evicted_, std::vector<ByteBudget::ClientId>{clients[0]});
  EXPECT_LE(budget_.held_bytes(), limits_.node_bytes);
}

// Guards against bytes that are lost or counted twice in the account.
TEST_F(ByteBudgetTest, NothingIsHeldAfterAllClientsHaveGone) {
  std::vector<ByteBudget::ClientId> clients;
  for (std::size_t i = 0; i < 50; ++i) {
    const ByteBudget::ClientId id = Open(i % 2 == 0 ? "a" : "b");
    budget_.Hold(id, Stage::kReader, i, now_);
    budget_.TryHold(id, Stage::kRequest, i * 10'000, now_);
    budget_.SetCustomer(id, "c");
    budget_.Hold(id, Stage::kAnswer, i * 3, now_);
    budget_.Hold(id, Stage::kRequest, i, now_);
    clients.push_back(id);
  }
  for (const ByteBudget::ClientId id : clients) budget_.Close(id);
  EXPECT_EQ(budget_.held_bytes(), 0U);
  EXPECT_EQ(budget_.large_request_bytes(), 0U);
  EXPECT_EQ(budget_.connections(ClientGroup::kCallers), 0U);
}

// Guards against limits that a small machine cannot hold, and against defaults
// below those of the smallest machine.
TEST(ByteBudgetLimitsTest, FollowMemoryAndDescriptors) {
  const ByteBudgetLimits smallest = MakeByteBudgetLimits(120, 3075);
  EXPECT_EQ(smallest.node_bytes, 40 * kMegabyte);
  EXPECT_EQ(smallest.large_request_bytes, 30 * kMegabyte);
  EXPECT_EQ(smallest.customer_bytes, 20 * kMegabyte);
  EXPECT_EQ(smallest.connections[0], 1280U);
  const ByteBudgetLimits unknown = MakeByteBudgetLimits(0, 0);
  EXPECT_EQ(unknown, MakeByteBudgetLimits(512, 4096));
  EXPECT_EQ(unknown.connections[0], 2048U);
  const ByteBudgetLimits few = MakeByteBudgetLimits(120, 300);
  EXPECT_EQ(few.connections, (std::array<std::size_t, 4>{150, 37, 37, 9}));
}

}  // namespace
}  // namespace pollenledge
