#include "pollenledge/process/stream_origins.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
constexpr TimePoint kConnectedAt{std::chrono::seconds(1000)};
const Fingerprint kStream = ComputeFingerprint({"stream"});

ForwardUpstreamInfo Entry(std::uint64_t incarnation,
                          const std::string& version) {
  ForwardUpstreamInfo info;
  info.id = {"a", incarnation};
  info.software_version = version;
  return info;
}

/// Origins with one part, which "a" sent as incarnation 1 of "v1" by the list.
StreamOrigins WithOnePart() {
  StreamOrigins origins;
  origins.Add({kStream, {"s", "v1"}, {"a", 1}, "v1", kConnectedAt});
  return origins;
}

// Guards against a list that is taken for newer than it is.
TEST(StreamOriginsTest, AListConfirmsWhatItWasReadAfter) {
  StreamOrigins origins = WithOnePart();
  EXPECT_FALSE(origins.IsConfirmed(kStream));
  EXPECT_TRUE(origins.IsConfirmed(ComputeFingerprint({"other"})));
  for (const std::optional<TimePoint>& confirmed_at :
       {std::optional<TimePoint>(), std::optional<TimePoint>(kConnectedAt)}) {
    EXPECT_TRUE(origins.OnListed({Entry(1, "v1")}, confirmed_at).empty());
    EXPECT_FALSE(origins.IsConfirmed(kStream));
  }
  EXPECT_TRUE(
      origins.OnListed({Entry(1, "v1")}, kConnectedAt + kSecond).empty());
  EXPECT_TRUE(origins.IsConfirmed(kStream));
}

// Guards against a restart as another version that isn't noticed.
TEST(StreamOriginsTest, ARestartAsAnotherVersionReplacesThePart) {
  StreamOrigins origins = WithOnePart();
  const std::vector<ReplacedPart> replaced =
      origins.OnListed({Entry(2, "v2")}, std::nullopt);
  ASSERT_EQ(replaced.size(), 1U);
  EXPECT_EQ(replaced[0].part.stream, kStream);
  EXPECT_EQ(replaced[0].listed.software_version, "v2");
  EXPECT_TRUE(origins.IsConfirmed(kStream)) << "it is reported once";
}

// Guards against restarts as the same version that end streams, and against a
// later one that is missed behind them.
TEST(StreamOriginsTest, ARestartAsTheSameVersionReplacesNothing) {
  StreamOrigins origins = WithOnePart();
  EXPECT_TRUE(origins.OnListed({Entry(2, "v1")}, std::nullopt).empty());
  EXPECT_FALSE(origins.IsConfirmed(kStream));
  EXPECT_EQ(origins.OnListed({Entry(3, "v2")}, std::nullopt).size(), 1U);
}

// Guards against a stream that goes by its last part alone.
TEST(StreamOriginsTest, EachPartMustBeConfirmed) {
  StreamOrigins origins = WithOnePart();
  origins.Add(
      {kStream, {"s", "v1"}, {"b", 1}, "v1", kConnectedAt + 2 * kSecond});
  origins.OnListed({Entry(1, "v1")}, kConnectedAt + kSecond);
  EXPECT_FALSE(origins.IsConfirmed(kStream));
  {
    SCOPED_TRACE("an upstream that is gone has not started again");
    origins.OnListed({}, kConnectedAt + 3 * kSecond);
    EXPECT_TRUE(origins.IsConfirmed(kStream));
  }
}

// Guards against memory that grows for as long as the store is away.
TEST(StreamOriginsTest, TheOldestPartsAreDropped) {
  StreamOrigins origins = WithOnePart();
  for (std::size_t i = 0; i < StreamOrigins::kMaxParts; ++i) {
    origins.Add({ComputeFingerprint({std::to_string(i)}),
                 {"s", "v1"},
                 {"a", 1},
                 "v1",
                 kConnectedAt + kSecond});
  }
  EXPECT_TRUE(origins.IsConfirmed(kStream));
  EXPECT_FALSE(origins.IsConfirmed(ComputeFingerprint({"0"})));
}

}  // namespace
}  // namespace pollenledge
