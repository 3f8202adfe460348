#include "pollenledge/connection/http_reader.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

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

// Guards against requests that are refused as malformed because their sender
// ended the body before them with an empty line that its length does not count
// (RFC 9112, section 2.2).
TEST(HttpReaderTest, IgnoresAnEmptyLineBeforeARequest) {
  const std::string bytes =
      "\r\nPOST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (std::size_t portion = 1; portion <= bytes.size(); ++portion) {
    SCOPED_TRACE(portion);
    HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
    std::string body;
    std::size_t at = 0;
    while (at < bytes.size() && !reader.complete()) {
      ASSERT_TRUE(Ok(reader.Append(bytes.substr(at, portion))));
      at += portion;
      body += reader.TakeBody();
    }
    EXPECT_EQ(reader.head().target, "/first");
    EXPECT_EQ(body, "abc");
    ASSERT_TRUE(Ok(reader.StartNextMessage()));
    if (at < bytes.size()) {
      ASSERT_TRUE(Ok(reader.Append(bytes.substr(at))));
    }
    ASSERT_TRUE(reader.complete());
    EXPECT_EQ(reader.head().target, "/next");
  }
}

// Guards against a kept connection that counts as one with a begun request, and
// is closed for it, after an empty line behind a body.
TEST(HttpReaderTest, AnEmptyLineBeginsNoRequest) {
  HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
  for (const char* part : {"\r", "\n"}) {
    ASSERT_TRUE(Ok(reader.Append(part)));
    EXPECT_TRUE(reader.idle());
  }
  {
    SCOPED_TRACE("only one line is ignored");
    EXPECT_FALSE(Ok(reader.Append("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")));
  }
  {
    SCOPED_TRACE("none is ignored before a response");
    HttpReader responses(HttpReader::Role::kResponses, kMaxHeadBytes,
                         kMaxBodyBytes);
    EXPECT_FALSE(Ok(
        responses.Append("\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
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

// Guards against a status that no client understands and that is passed on as
// the response (MIXED).
TEST(HttpReaderTest, RejectsAStatusOutsideTheClassesOfHttp) {
  const auto is_accepted = [](const std::string& status) {
    HttpReader reader(HttpReader::Role::kResponses, 1024, 1024);
    return Ok(reader.Append("HTTP/1.1 " + status +
                            " Text\r\nContent-Length: 0\r\n\r\n"));
  };
  for (const char* status : {"000", "042", "099", "600", "999"})
    EXPECT_FALSE(is_accepted(status)) << status;
  for (const char* status : {"100", "200", "299", "404", "500", "599"})
    EXPECT_TRUE(is_accepted(status)) << status;
}

TEST(HttpReaderTest, ReportsUnreadBytesAfterResponse) {
  HttpReader reader(HttpReader::Role::kResponses, kMaxHeadBytes, kMaxBodyBytes);
  ASSERT_TRUE(Ok(reader.Append(
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK")));
  EXPECT_TRUE(reader.complete());
  EXPECT_GT(reader.unread_bytes(), 0U);
}

// Guards against an assertion of the parser that ended the process when the
// last chunk of an empty body arrived in two parts.
TEST(HttpReaderTest, ReadsALastChunkInTwoParts) {
  const std::string bytes =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\n";
  for (std::size_t cut = bytes.size() - 5; cut < bytes.size(); ++cut) {
    SCOPED_TRACE(cut);
    HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
    ASSERT_TRUE(Ok(reader.Append(bytes.substr(0, cut))));
    for (const char c : bytes.substr(cut)) {
      EXPECT_FALSE(reader.complete());
      ASSERT_TRUE(Ok(reader.Append(std::string(1, c))));
    }
    EXPECT_TRUE(reader.complete());
  }
}

/// Makes requests with bodies at the limits, and cuts them at any position.
class MessageGenerator {
 public:
  explicit MessageGenerator(std::uint32_t seed) : random_(seed) {}

  std::size_t Below(std::size_t bound) { return random_() % bound; }

  std::string Body() {
    constexpr std::array<std::size_t, 7> kSizes = {
        0, 1, 100, 8192, kMaxBodyBytes - 1, kMaxBodyBytes, kMaxBodyBytes + 1};
    std::string body(kSizes.at(Below(kSizes.size())), 'x');
    for (std::size_t i = 0; i < body.size(); i += 1 + Below(50))
      body[i] = static_cast<char>(random_());
    return body;
  }

  std::string Request(const std::string& body) {
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
    if (Below(2) == 0) {
      return head + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    }
    std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
    constexpr std::array<std::size_t, 4> kChunks = {1, 2, 1000, kMaxBodyBytes};
    const std::size_t max_chunk = kChunks.at(Below(kChunks.size()));
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t size = std::min(body.size() - at, 1 + Below(max_chunk));
      std::array<char, 24> line{};
      std::snprintf(line.data(), line.size(), "%zx\r\n", size);
      text += line.data() + body.substr(at, size) + "\r\n";
      at += size;
    }
    return text + "0\r\n\r\n";
  }

  /// Appends `bytes` in portions. Returns the first error.
  Status Append(HttpReader* reader, std::string_view bytes) {
    constexpr std::array<std::size_t, 4> kPortions = {1, 7, 8192, 1 << 20};
    const std::size_t max_portion = kPortions.at(Below(kPortions.size()));
    while (!bytes.empty()) {
      const std::size_t size = std::min(bytes.size(), 1 + Below(max_portion));
      if (Status status = reader->Append(bytes.substr(0, size)); !Ok(status))
        return status;
      bytes.remove_prefix(size);
    }
    return {};
  }

 private:
  std::mt19937 random_;
};

// Guards against a body that is lost, doubled or admitted over its limit when
// its bytes arrive in portions of any size.
TEST(HttpReaderFuzzTest, ReadsWhatWasSentInAnyPortions) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    MessageGenerator generator(seed);
    const std::string body = generator.Body();
    const std::string request = generator.Request(body);
    HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
    const Status status = generator.Append(&reader, request);
    if (body.size() > kMaxBodyBytes) {
      EXPECT_FALSE(Ok(status));
      EXPECT_TRUE(reader.body_too_large());
      continue;
    }
    ASSERT_TRUE(Ok(status));
    ASSERT_TRUE(reader.complete());
    EXPECT_EQ(reader.received_body_bytes(), body.size());
    EXPECT_EQ(reader.announced_body_bytes().value_or(body.size()), body.size());
    EXPECT_EQ(reader.buffered_bytes(), 0U);
    EXPECT_EQ(reader.TakeBody(), body);
  }
}

// Guards against a request that counts as complete although its end is missing,
// and against bytes held beyond the body.
TEST(HttpReaderFuzzTest, ACutRequestIsNeverComplete) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    MessageGenerator generator(seed);
    const std::string request = generator.Request(generator.Body());
    const std::size_t cut = generator.Below(2) == 0
                                ? request.size() - 1
                                : generator.Below(request.size());
    HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
    if (!Ok(generator.Append(&reader, request.substr(0, cut)))) continue;
    EXPECT_FALSE(reader.complete());
    EXPECT_LE(reader.received_body_bytes(), kMaxBodyBytes);
    EXPECT_LE(reader.buffered_bytes(), kMaxHeadBytes);
    reader.Discard();
    EXPECT_EQ(reader.buffered_bytes(), 0U);
  }
}

// Guards against a reader that crashes or hangs on damaged requests.
TEST(HttpReaderFuzzTest, ADamagedRequestIsReadOrRejected) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    MessageGenerator generator(seed);
    std::string request = generator.Request(generator.Body());
    for (int i = 0; i < 4; ++i) {
      request[generator.Below(std::min<std::size_t>(request.size(), 300))] =
          static_cast<char>(generator.Below(256));
    }
    HttpReader reader(Requests(), kMaxHeadBytes, kMaxBodyBytes);
    if (Ok(generator.Append(&reader, request))) {
      EXPECT_LE(reader.received_body_bytes(), kMaxBodyBytes);
    }
  }
}

}  // namespace
}  // namespace pollenledge
