#include "pollenledge/connection/http_reader.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr std::size_t kHead = 4096;
constexpr std::size_t kBody = 65536;

HttpReader::Role Requests() { return HttpReader::Role::kRequests; }

bool Rejects(const std::string& bytes) {
  HttpReader reader(Requests(), kHead, kBody);
  return !Ok(reader.Append(bytes));
}

TEST(HttpReaderTest, ReadsRequestsInAnyPortions) {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
      "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (std::size_t portion = 1; portion <= bytes.size(); ++portion) {
    HttpReader reader(Requests(), kHead, kBody);
    std::string body;
    std::size_t at = 0;
    while (at < bytes.size() && !reader.complete()) {
      ASSERT_TRUE(Ok(reader.Append(bytes.substr(at, portion))));
      at += portion;
      body += reader.TakeBody();
    }
    EXPECT_EQ(reader.head().target, "/a/b?c=d");
    EXPECT_EQ(body, "abcde");
    ASSERT_TRUE(Ok(reader.Next()));
    if (at < bytes.size()) {
      ASSERT_TRUE(Ok(reader.Append(bytes.substr(at))));
    }
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.head().target, "/next");
  }
}

TEST(HttpReaderTest, RejectsWhatCanBeReadInTwoWays) {
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  // A length beside chunks, in either order.
  EXPECT_TRUE(Rejects(start +
                      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
                      "\r\n0\r\n\r\n"));
  EXPECT_TRUE(Rejects(start +
                      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"
                      "\r\n0\r\n\r\n"));
  // Several lengths, and lengths that are no plain number.
  EXPECT_TRUE(
      Rejects(start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"));
  EXPECT_TRUE(
      Rejects(start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"));
  EXPECT_TRUE(Rejects(start + "Content-Length: +1\r\n\r\na"));
  EXPECT_TRUE(Rejects(start + "Content-Length: 1, 1\r\n\r\na"));
  // Encodings that one reader takes for chunks and another does not.
  EXPECT_TRUE(Rejects(start + "Transfer-Encoding: xchunked\r\n\r\n"));
  EXPECT_TRUE(Rejects(start + "Transfer-Encoding: chunked, identity\r\n\r\n"));
  EXPECT_TRUE(Rejects(start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"));
  // Folded lines, bare line feeds, several hosts.
  EXPECT_TRUE(Rejects(start + "A: b\r\n c\r\n\r\n"));
  EXPECT_TRUE(Rejects("GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n"));
  EXPECT_TRUE(Rejects("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"));
}

TEST(HttpReaderTest, HoldsSizesToTheirLimits) {
  HttpReader head(Requests(), 64, kBody);
  EXPECT_FALSE(Ok(head.Append("GET /" + std::string(100, 'x'))));
  EXPECT_TRUE(head.head_too_large());
  HttpReader body(Requests(), kHead, 8);
  EXPECT_FALSE(Ok(body.Append(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")));
  EXPECT_TRUE(body.body_too_large());
}

/// Appends `begin` and then `again` until the reader refuses; the bytes taken.
std::size_t TakenUntilRefused(const std::string& begin,
                              const std::string& again) {
  constexpr std::size_t kCap = std::size_t{16} * 1024 * 1024;
  HttpReader reader(HttpReader::Role::kAnswers, kHead, kCap);
  std::size_t taken = begin.size();
  bool sound = Ok(reader.Append(begin));
  while (sound && taken < kCap) {
    sound = Ok(reader.Append(again));
    reader.TakeBody();
    taken += again.size();
  }
  return taken;
}

// Guards against chunk headers and trailers that fill the node's memory
// (incident BUDGET).
TEST(HttpReaderTest, FramingWithoutEndIsRefusedSoon) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kSoon = 4 * kHead;
  const std::string long_text(kHead / 4, 'x');
  EXPECT_LT(TakenUntilRefused(chunked + "1;a=", long_text), kSoon);
  EXPECT_LT(TakenUntilRefused(chunked, "1;a=" + long_text + "\r\nx\r\n"),
            kSoon);
  EXPECT_LT(TakenUntilRefused(chunked + "0\r\n", "X: x\r\n"), kSoon);
  EXPECT_LT(TakenUntilRefused(chunked + "0\r\nX: ", long_text), kSoon);
  // Chunks of a byte each are no such thing.
  EXPECT_GT(TakenUntilRefused(chunked, "1\r\nx\r\n"), 100 * kSoon);
}

TEST(HttpReaderTest, AnAnswerWithoutLengthEndsWithItsConnection) {
  HttpReader reader(HttpReader::Role::kAnswers, kHead, kBody);
  ASSERT_TRUE(Ok(reader.Append("HTTP/1.1 200 OK\r\n\r\nab")));
  EXPECT_FALSE(reader.complete());
  ASSERT_TRUE(Ok(reader.End()));
  EXPECT_TRUE(reader.complete());
  EXPECT_EQ(reader.TakeBody(), "ab");
  EXPECT_FALSE(reader.keep_alive());

  HttpReader cut(HttpReader::Role::kAnswers, kHead, kBody);
  ASSERT_TRUE(Ok(cut.Append("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")));
  EXPECT_FALSE(Ok(cut.End()));
}

TEST(HttpReaderTest, BytesAfterAnAnswerAreSeen) {
  HttpReader reader(HttpReader::Role::kAnswers, kHead, kBody);
  ASSERT_TRUE(Ok(reader.Append(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK")));
  EXPECT_TRUE(reader.complete());
  EXPECT_GT(reader.unread_bytes(), 0U);
}

}  // namespace
}  // namespace pollenledge
