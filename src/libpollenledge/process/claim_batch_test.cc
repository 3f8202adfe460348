#include "pollenledge/process/claim_batch.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace pollenledge {
namespace {

WriteClaim MakeClaimWrite(std::uint64_t request,
                          std::int64_t expected_revision = 0) {
  WriteClaim write;
  write.record.owner = {{"n", 1}, request};
  write.record.body_sha256 = "b";
  write.expected_revision = expected_revision;
  return write;
}

// A key-value service that maps keys to values and revisions. `Commit` applies
// all writes of a transaction or none.
struct FakeKvStore {
  std::map<std::string, std::pair<std::string, std::int64_t>> entries;
  std::int64_t revision = 0;
  int calls = 0;

  KvTxnReply Commit(const std::vector<KvWrite>& writes) {
    ++calls;
    KvTxnReply reply;
    reply.succeeded = true;
    for (const KvWrite& write : writes) {
      const auto found = entries.find(write.key);
      const std::int64_t current =
          found == entries.end() ? 0 : found->second.second;
      if (current != write.expected_revision) reply.succeeded = false;
      if (found != entries.end()) {
        reply.current.push_back({write.key, found->second.first, current});
      }
    }
    if (!reply.succeeded) return reply;
    ++revision;
    for (const KvWrite& write : writes) {
      entries[write.key] = {write.value, revision};
    }
    reply.revision = revision;
    return reply;
  }
};

// Reference implementation: writes each claim in a transaction of its own.
std::vector<bool> WriteOneByOne(
    FakeKvStore store,
    const std::vector<std::pair<std::string, WriteClaim>>& claims) {
  std::vector<bool> written;
  written.reserve(claims.size());
  for (const auto& [key, write] : claims) {
    written.push_back(
        store.Commit({{key, ToJson(write.record), write.expected_revision, 0}})
            .succeeded);
  }
  return written;
}

// A batch retries after conflicts and must grant exactly the claims that single
// transactions would grant, with at most one retry.
TEST(ClaimBatchTest, GrantsTheSameClaimsAsSeparateTransactions) {
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    std::mt19937_64 random(seed);
    FakeKvStore store;
    for (int i = 0; i < 6; ++i) {
      if (random() % 2 == 0) {
        store.Commit({{"k" + std::to_string(i),
                       ToJson(MakeClaimWrite(99).record), 0, 0}});
      }
    }
    ClaimBatch batch;
    std::vector<std::pair<std::string, WriteClaim>> claims;
    for (std::uint64_t i = 0; i < 8; ++i) {
      const std::string key = "k" + std::to_string(i);
      const WriteClaim write =
          MakeClaimWrite(i + 1, static_cast<std::int64_t>(random() % 3));
      claims.emplace_back(key, write);
      ASSERT_TRUE(batch.Add(key, write));
    }
    const std::vector<bool> expected = WriteOneByOne(store, claims);
    store.calls = 0;
    for (auto writes = batch.NextTransaction(); !writes.empty();
         writes = batch.NextTransaction()) {
      batch.OnReply(store.Commit(writes));
    }
    EXPECT_LE(store.calls, 2);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      EXPECT_EQ(std::holds_alternative<ClaimWritten>(*batch.claims()[i].reply),
                expected[i])
          << "seed " << seed << " claim " << i;
    }
  }
}

TEST(ClaimBatchTest, RejectsASecondClaimOfTheSameKey) {
  ClaimBatch batch;
  EXPECT_TRUE(batch.Add("k", MakeClaimWrite(1)));
  EXPECT_FALSE(batch.Add("k", MakeClaimWrite(2)));
}

// A lost response leaves it unknown whether the transaction took effect, so no
// claim of the batch may count as written.
TEST(ClaimBatchTest, ALostResponseLeavesAllClaimsWithoutReply) {
  ClaimBatch batch;
  batch.Add("k", MakeClaimWrite(1));
  batch.Add("l", MakeClaimWrite(2));
  batch.OnReply(Error{ErrorCode::kUnknownOutcome, "lost"});
  EXPECT_TRUE(batch.NextTransaction().empty());
  for (const BatchedClaim& claim : batch.claims()) {
    EXPECT_EQ(claim.reply, ClaimReply(ClaimNoResponse{}));
  }
}

}  // namespace
}  // namespace pollenledge
