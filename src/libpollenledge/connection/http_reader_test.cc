#include "pollenledge/connection/http_reader.h"

#include <gtest/gtest.h>

namespace pollenledge {
namespace {

constexpr std::size_t kMaxHeadBytes = 4096;
constexpr std::size_t kMaxBodyBytes = 65536;

HttpReader::Role Requests() { return HttpReader::Role::kRequests; }

bool Rejects(const std::string& bytes) {
  HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
  return !Ok(reader.Append(bytes));
}

TEST(HttpReaderTest, ReadsPipelinedRequestsInPortionsOfAnySize) {
  const std::string bytes =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
      "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (std::size_t portion = 1; portion <= bytes.size(); ++portion) {
    HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
    std::string body;
    std::size_t at = 0;
    while (at < bytes.size() && !reader.complete()) {
      ASSERT_TRUE(Ok(reader.Append(bytes.substr(at, portion))));
      at += portion;
      body += reader.TakeBody();
    }
    EXPECT_EQ(reader.head().target, "/a/b?c=d");
    EXPECT_EQ(body, "abcde");
    ASSERT_TRUE(Ok(reader.StartNextMessage()));
    if (at < bytes.size()) {
      ASSERT_TRUE(Ok(reader.Append(bytes.substr(at))));
    }
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(reader.head().target, "/next");
  }
}

TEST(HttpReaderTest, RejectsAmbiguousMessages) {
  const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
  // A content length together with chunked encoding, in either order.
  EXPECT_TRUE(Rejects(start +
                      "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
                      "\r\n0\r\n\r\n"));
  EXPECT_TRUE(Rejects(start +
                      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"
                      "\r\n0\r\n\r\n"));
  // Repeated content lengths, and ones that are not a plain number.
  EXPECT_TRUE(
      Rejects(start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"));
  EXPECT_TRUE(
      Rejects(start + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na"));
  EXPECT_TRUE(Rejects(start + "Content-Length: +1\r\n\r\na"));
  EXPECT_TRUE(Rejects(start + "Content-Length: 1, 1\r\n\r\na"));
  // Encodings that only some implementations treat as chunked.
  EXPECT_TRUE(Rejects(start + "Transfer-Encoding: xchunked\r\n\r\n"));
  EXPECT_TRUE(Rejects(start + "Transfer-Encoding: chunked, identity\r\n\r\n"));
  EXPECT_TRUE(Rejects(start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"));
  // Folded header lines, bare line feeds, repeated `Host` headers.
  EXPECT_TRUE(Rejects(start + "A: b\r\n c\r\n\r\n"));
  EXPECT_TRUE(Rejects("GET / HTTP/1.1\r\nHost: h\nA: b\r\n\r\n"));
  EXPECT_TRUE(Rejects("GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"));
}

TEST(HttpReaderTest, RejectsOversizedHeadAndBody) {
  HttpReader head(Requests(), 64, kMaxBodyBytes);
  EXPECT_FALSE(Ok(head.Append("GET /" + std::string(100, 'x'))));
  EXPECT_TRUE(head.head_too_large());
  HttpReader body(Requests(), kMaxHeadBytes, 8);
  EXPECT_FALSE(Ok(body.Append(
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")));
  EXPECT_TRUE(body.body_too_large());
}

/// Appends `first` once and then `repeated` until the reader returns an error
/// or a cap is reached. Returns the number of bytes appended.
std::size_t BytesAppendedUntilError(const std::string& first,
                                    const std::string& repeated) {
  constexpr std::size_t kMaxAppendedBytes = std::size_t{16} * 1024 * 1024;
  HttpReader reader(HttpReader::Role::kResponses, kMaxHeadBytes,
                    kMaxAppendedBytes);
  std::size_t appended = first.size();
  bool accepted = Ok(reader.Append(first));
  while (accepted && appended < kMaxAppendedBytes) {
    accepted = Ok(reader.Append(repeated));
    reader.TakeBody();
    appended += repeated.size();
  }
  return appended;
}

// Guards against chunk headers and trailers of unlimited size, which a peer can
// use to exhaust the node's memory (incident BUDGET).
TEST(HttpReaderTest, RejectsUnboundedFramingEarly) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kEarlyRejectionBytes = 4 * kMaxHeadBytes;
  const std::string long_text(kMaxHeadBytes / 4, 'x');
  EXPECT_LT(BytesAppendedUntilError(chunked + "1;a=", long_text),
            kEarlyRejectionBytes);
  EXPECT_LT(BytesAppendedUntilError(chunked, "1;a=" + long_text + "\r\nx\r\n"),
            kEarlyRejectionBytes);
  EXPECT_LT(BytesAppendedUntilError(chunked + "0\r\n", "X: x\r\n"),
            kEarlyRejectionBytes);
  EXPECT_LT(BytesAppendedUntilError(chunked + "0\r\nX: ", long_text),
            kEarlyRejectionBytes);
  // Chunks of one byte each are valid and must not be rejected.
  EXPECT_GT(BytesAppendedUntilError(chunked, "1\r\nx\r\n"),
            100 * kEarlyRejectionBytes);
}

TEST(HttpReaderTest, ResponseWithoutLengthCompletesAtEndOfStream) {
  HttpReader reader(HttpReader::Role::kResponses, kMaxHeadBytes, kMaxBodyBytes);
  ASSERT_TRUE(Ok(reader.Append("HTTP/1.1 200 OK\r\n\r\nab")));
  EXPECT_FALSE(reader.complete());
  ASSERT_TRUE(Ok(reader.OnEndOfStream()));
  EXPECT_TRUE(reader.complete());
  EXPECT_EQ(reader.TakeBody(), "ab");
  EXPECT_FALSE(reader.keep_alive());

  HttpReader truncated(HttpReader::Role::kResponses, kMaxHeadBytes,
                       kMaxBodyBytes);
  ASSERT_TRUE(
      Ok(truncated.Append("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")));
  EXPECT_FALSE(Ok(truncated.OnEndOfStream()));
}

TEST(HttpReaderTest, ReportsUnreadBytesAfterResponse) {
  HttpReader reader(HttpReader::Role::kResponses, kMaxHeadBytes, kMaxBodyBytes);
  ASSERT_TRUE(Ok(reader.Append(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK")));
  EXPECT_TRUE(reader.complete());
  EXPECT_GT(reader.unread_bytes(), 0U);
}

}  // namespace
}  // namespace pollenledge
