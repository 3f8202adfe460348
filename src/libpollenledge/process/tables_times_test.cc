#include "pollenledge/process/tables_times.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "pollenledge/process/forward_node.h"

namespace pollenledge {
namespace {

using std::chrono::milliseconds;

/// A read that is not answered is sent once more after this time.
constexpr Duration kHedge = milliseconds(200);
/// Time in which the store answers also while it is slow.
constexpr Duration kAnswer = milliseconds(200);

/// A node that follows collectors, whose confirmations end at some time.
class Follower {
 public:
  Follower() : node_(Options()) {
    ForwardingTables tables;
    tables.version = 1;
    Submit(forward_event::TablesRead{
        std::make_shared<const ForwardingIndex>(std::move(tables)), now_});
  }

  /// Returns how old the confirmation is when the node begins to read by
  /// itself, if it checks at `check_offset` after the last confirmation and
  /// then each interval. Its reads take `read_time`.
  Duration AgeAtRead(const TablesTimes& times, Duration check_offset,
                     Duration read_time = Duration(0)) const {
    TimePoint at = now_ + check_offset;
    while (!node_.NeedsTablesRead(times.MaxAge(read_time), at))
      at += times.check_interval;
    return at - now_;
  }

 private:
  static ForwardNodeOptions Options() {
    ForwardNodeOptions options;
    options.self.id = {"n", 1};
    return options;
  }

  void Submit(const ForwardEvent& event) {
    node_.Handle(event, {now_, WallTime()});
  }

  TimePoint now_{std::chrono::seconds(1000)};
  ForwardNode node_;
};

// Guards against a node that begins to read so late, once its collectors fall
// silent, that a version isn't in force in time (incident CONFIG of Kutch and
// SFMA).
TEST(TablesTimesTest, TheWorstAgeLeavesAReserveOfTheBound) {
  const Follower follower;
  for (const int bound_ms : {2000, 3000, 4000}) {
    SCOPED_TRACE(bound_ms);
    const Duration bound = milliseconds(bound_ms);
    const TablesTimes times = MakeTablesTimes(bound);
    Duration worst{0};
    for (Duration offset{0}; offset < times.check_interval;
         offset += milliseconds(1)) {
      worst = std::max(worst, follower.AgeAtRead(times, offset));
    }
    EXPECT_LE(worst, times.read_period);
    EXPECT_LE(worst + kHedge + kAnswer, bound * 9 / 10);
  }
}

// Guards against a node whose reads end in time alone, but not one after the
// other (CONFIG with full links).
TEST(TablesTimesTest, SlowReadsBeginEarlier) {
  const Follower follower;
  const Duration bound = std::chrono::seconds(3);
  const TablesTimes times = MakeTablesTimes(bound);
  for (const Duration read_time :
       {milliseconds(300), milliseconds(700), milliseconds(1100)}) {
    SCOPED_TRACE(FormatMilliseconds(read_time));
    // A confirmation is as old as its read when that ends.
    const Duration age =
        follower.AgeAtRead(times, read_time + times.check_interval, read_time);
    EXPECT_LE(age + read_time, bound);
  }
}

// Guards against a node without a bound that reads without pause.
TEST(TablesTimesTest, WithoutABoundThereIsTimeBetweenTwoReads) {
  const TablesTimes times = MakeTablesTimes(Duration(0));
  EXPECT_GT(times.check_interval, milliseconds(50));
  EXPECT_GT(times.MaxAge(Duration(0)), times.check_interval);
}

}  // namespace
}  // namespace pollenledge
