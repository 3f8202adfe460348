#include "pollenledge/connection/http_reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cctype>
#include <optional>
#include <utility>

namespace pollenledge {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// The status codes that RFC 9110, section 15, defines the classes of.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;
constexpr std::string_view kEmptyLine = "\r\n";
constexpr std::string_view kHeadTerminator = "\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";
/// Maximum bytes of chunk framing per byte of body. Chunks of one byte stay
/// below it.
constexpr std::size_t kMaxFramingBytesPerBodyByte = 16;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

Error Malformed(const std::string& detail) {
  return {ErrorCode::kInvalidArgument, "malformed HTTP message: " + detail};
}

bool IsDecimalNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

/// Rejects heads that different HTTP implementations parse differently.
class HeadValidator {
 public:
  Status Check(std::string_view head) {
    bool first = true;
    while (!head.empty()) {
      const std::size_t end = head.find("\r\n");
      const std::string_view line = head.substr(0, end);
      head.remove_prefix(std::min(head.size(), line.size() + 2));
      if (line.find_first_of(std::string_view("\r\n\0", 3)) !=
          std::string_view::npos) {
        return Malformed("control character in the head");
      }
      if (!first) {
        if (Status status = CheckField(line); !Ok(status)) return status;
      }
      first = false;
    }
    if (content_length_count_ > 0 && has_transfer_encoding_) {
      return Malformed("both Content-Length and Transfer-Encoding");
    }
    return {};
  }

 private:
  Status CheckField(std::string_view line) {
    if (line.empty()) return {};
    if (line.front() == ' ' || line.front() == '\t') {
      return Malformed("folded header line");
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
      return Malformed("header line without a name");
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = Trim(line.substr(colon + 1));
    if (name.back() == ' ' || name.back() == '\t') {
      return Malformed("space before the colon of a header line");
    }
    if (EqualsIgnoreCase(name, "Content-Length")) {
      ++content_length_count_;
      if (content_length_count_ > 1 || !IsDecimalNumber(value)) {
        return Malformed("repeated or invalid Content-Length");
      }
    }
    if (EqualsIgnoreCase(name, "Transfer-Encoding")) {
      if (has_transfer_encoding_ || !EqualsIgnoreCase(value, "chunked")) {
        return Malformed("repeated or unsupported Transfer-Encoding");
      }
      has_transfer_encoding_ = true;
    }
    if (EqualsIgnoreCase(name, "Host") && ++host_count_ > 1) {
      return Malformed("more than one Host header");
    }
    return {};
  }

  int content_length_count_ = 0;
  int host_count_ = 0;
  bool has_transfer_encoding_ = false;
};

/// Stores the head and the body that Beast's parser reads.
template <bool kIsRequest>
class CollectingParser : public http::basic_parser<kIsRequest> {
 public:
  HttpHead head;
  std::string body;
  std::size_t body_bytes = 0;  ///< Total received so far.
  bool head_complete = false;
  bool in_chunk = false;  ///< Within the data of a chunk.

 protected:
  using ErrorCode = beast::error_code;

  void on_request_impl(http::verb, beast::string_view method,
                       beast::string_view target, int, ErrorCode&) override {
    head.method = std::string(method);
    head.target = std::string(target);
  }
  void on_response_impl(int code, beast::string_view reason, int,
                        ErrorCode& error) override {
    if (code < kMinStatus || code > kMaxStatus) error = http::error::bad_status;
    head.status = code;
    head.reason = std::string(reason);
  }
  void on_field_impl(http::field, beast::string_view name,
                     beast::string_view value, ErrorCode&) override {
    if (head_complete) return;  // A trailer.
    head.fields.push_back({std::string(name), std::string(value)});
  }
  void on_header_impl(ErrorCode&) override { head_complete = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         ErrorCode&) override {}
  std::size_t on_body_impl(beast::string_view part, ErrorCode&) override {
    return Append(part);
  }
  void on_chunk_header_impl(std::uint64_t size, beast::string_view,
                            ErrorCode&) override {
    in_chunk = size > 0;
  }
  std::size_t on_chunk_body_impl(std::uint64_t remaining,
                                 beast::string_view part, ErrorCode&) override {
    in_chunk = part.size() < remaining;
    return Append(part);
  }
  void on_finish_impl(ErrorCode&) override {}

 private:
  std::size_t Append(beast::string_view part) {
    body.append(part.data(), part.size());
    body_bytes += part.size();
    return part.size();
  }
};

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpField& field : fields) {
    if (EqualsIgnoreCase(field.name, name)) return &field.value;
  }
  return nullptr;
}

bool IsHopByHop(std::string_view name, std::string_view connection_value) {
  // From RFC 9110, section 7.6.1, and fields that older senders use.
  static constexpr std::array<std::string_view, 10> kNames = {
      "Connection",
      "Keep-Alive",
      "Proxy-Connection",
      "TE",
      "Transfer-Encoding",
      "Upgrade",
      "Trailer",
      "Content-Length",
      "Expect",
      "Proxy-Authorization"};
  for (const std::string_view known : kNames) {
    if (EqualsIgnoreCase(name, known)) return true;
  }
  while (!connection_value.empty()) {
    const std::size_t comma = connection_value.find(',');
    if (EqualsIgnoreCase(Trim(connection_value.substr(0, comma)), name))
      return true;
    if (comma == std::string_view::npos) break;
    connection_value.remove_prefix(comma + 1);
  }
  return false;
}

struct HttpReader::Impl {
  Role role = Role::kRequests;
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  std::string buffer;
  std::optional<CollectingParser<true>> request;
  std::optional<CollectingParser<false>> response;
  bool head_checked = false;
  bool skipped_empty_line = false;  ///< Before the current message.
  bool skip_body = false;
  bool head_too_large = false;
  bool body_too_large = false;
  std::size_t parsed_bytes = 0;  ///< Of the current message.
  /// No end of the head begins before this position of `buffer`.
  std::size_t head_searched = 0;
  std::size_t head_bytes = 0;  ///< Size of the current head as received.

  template <typename Visit>
  decltype(auto) VisitParser(Visit visit) {
    return role == Role::kRequests ? visit(*request) : visit(*response);
  }
  template <typename Visit>
  decltype(auto) VisitParser(Visit visit) const {
    return role == Role::kRequests ? visit(*request) : visit(*response);
  }

  void ResetParser() {
    head_checked = false;
    skipped_empty_line = false;
    parsed_bytes = 0;
    head_searched = 0;
    head_bytes = 0;
    if (role == Role::kRequests) {
      request.emplace();
    } else {
      response.emplace();
    }
    VisitParser([this](auto& parser) {
      parser.eager(true);
      // `CheckHead` enforces the limit before parsing.
      parser.header_limit(static_cast<std::uint32_t>(max_header_bytes + 4));
      parser.body_limit(max_body_bytes);
      if (skip_body) parser.skip(true);
    });
  }

  /// Returns how many bytes of an empty line lead the buffer: some senders end
  /// a body with one that its length does not count (RFC 9112, section 2.2).
  std::size_t EmptyLineBytes() const {
    if (role != Role::kRequests) return 0;
    const std::size_t size = std::min(buffer.size(), kEmptyLine.size());
    return kEmptyLine.compare(0, size, buffer, 0, size) == 0 ? size : 0;
  }

  /// Drops one empty line before a request.
  void SkipEmptyLine() {
    if (head_checked || skipped_empty_line ||
        EmptyLineBytes() < kEmptyLine.size())
      return;
    buffer.erase(0, kEmptyLine.size());
    skipped_empty_line = true;
  }

  Status CheckHead() {
    if (head_checked) return {};
    const std::size_t end = buffer.find(kHeadTerminator, head_searched);
    const std::size_t head_size =
        end == std::string::npos ? buffer.size() : end + kHeadTerminator.size();
    if (head_size > max_header_bytes) {
      head_too_large = true;
      return Malformed("head exceeds the size limit");
    }
    if (end == std::string::npos) {
      head_searched =
          buffer.size() - std::min(buffer.size(), kHeadTerminator.size() - 1);
      return {};
    }
    Status status =
        HeadValidator().Check(std::string_view(buffer).substr(0, end));
    if (!Ok(status)) return status;
    head_checked = true;
    head_bytes = head_size;
    return {};
  }

  Status Parse() {
    SkipEmptyLine();
    if (Status status = CheckHead(); !Ok(status)) return status;
    if (!head_checked) return {};
    return VisitParser([this](auto& parser) -> Status {
      std::size_t parsed = 0;
      while (!parser.is_done() && parsed < buffer.size()) {
        // Beast 1.74 asserts that it gets the whole last chunk at once.
        if (parser.head_complete && parser.chunked() && !parser.in_chunk &&
            buffer.size() - parsed < kLastChunk.size()) {
          break;
        }
        beast::error_code error;
        const std::size_t consumed = parser.put(
            boost::asio::buffer(buffer.data() + parsed, buffer.size() - parsed),
            error);
        parsed += consumed;
        if (error == http::error::need_more) break;
        if (error) {
          body_too_large = error == http::error::body_limit;
          return Malformed(error.message());
        }
        if (consumed == 0) break;
      }
      buffer.erase(0, parsed);
      parsed_bytes += parsed;
      return parser.is_done() ? Status() : CheckFraming(parser.body_bytes);
    });
  }

  /// Limits the total size of chunk headers, including their extensions, and
  /// trailers. The limit is derived from the limit on the head's size.
  Status CheckFraming(std::size_t body_bytes) const {
    // The buffer holds only an incomplete line, which counts as framing.
    const std::size_t framing = parsed_bytes - body_bytes + buffer.size();
    if (framing >
        2 * max_header_bytes + kMaxFramingBytesPerBodyByte * body_bytes) {
      return Malformed("chunk headers or trailers exceed the size limit");
    }
    return {};
  }
};

HttpReader::HttpReader(Role role, std::size_t max_header_bytes,
                       std::size_t max_body_bytes)
    : impl_(std::make_unique<Impl>()) {
  impl_->role = role;
  impl_->max_header_bytes = max_header_bytes;
  impl_->max_body_bytes = max_body_bytes;
  impl_->ResetParser();
}

HttpReader::~HttpReader() = default;

void HttpReader::SetLimits(std::size_t max_header_bytes,
                           std::size_t max_body_bytes) {
  impl_->max_header_bytes = max_header_bytes;
  impl_->max_body_bytes = max_body_bytes;
  if (idle()) impl_->ResetParser();
}

Status HttpReader::Append(std::string_view bytes) {
  impl_->buffer.append(bytes);
  if (complete()) return {};
  return impl_->Parse();
}

Status HttpReader::OnEndOfStream() {
  if (complete()) return {};
  if (!has_head())
    return Malformed("connection closed before the end of the head");
  return impl_->VisitParser([](auto& parser) -> Status {
    beast::error_code error;
    parser.put_eof(error);
    if (error) return Malformed(error.message());
    return {};
  });
}

bool HttpReader::has_head() const {
  return impl_->VisitParser(
      [](const auto& parser) { return parser.head_complete; });
}

const HttpHead& HttpReader::head() const {
  return impl_->VisitParser(
      [](const auto& parser) -> const HttpHead& { return parser.head; });
}

std::string HttpReader::TakeBody() {
  return impl_->VisitParser(
      [](auto& parser) { return std::exchange(parser.body, std::string()); });
}

std::optional<std::size_t> HttpReader::announced_body_bytes() const {
  return impl_->VisitParser(
      [](const auto& parser) -> std::optional<std::size_t> {
        if (!parser.head_complete) return std::nullopt;
        const auto length = parser.content_length();
        if (!length) return std::nullopt;
        return static_cast<std::size_t>(*length);
      });
}

std::size_t HttpReader::received_body_bytes() const {
  return impl_->VisitParser(
      [](const auto& parser) { return parser.body_bytes; });
}

void HttpReader::ReserveBody(std::size_t bytes) {
  impl_->VisitParser([bytes](auto& parser) { parser.body.reserve(bytes); });
}

bool HttpReader::complete() const {
  return impl_->VisitParser(
      [](const auto& parser) { return parser.is_done(); });
}

bool HttpReader::keep_alive() const {
  return impl_->VisitParser(
      [](const auto& parser) { return parser.keep_alive(); });
}

bool HttpReader::head_too_large() const { return impl_->head_too_large; }

bool HttpReader::body_too_large() const { return impl_->body_too_large; }

void HttpReader::ExpectResponseTo(std::string_view method) {
  impl_->skip_body = method == "HEAD";
  if (idle()) impl_->ResetParser();
}

Status HttpReader::StartNextMessage() {
  impl_->ResetParser();
  return impl_->Parse();
}

std::size_t HttpReader::unread_bytes() const {
  return complete() ? impl_->buffer.size() - impl_->EmptyLineBytes() : 0;
}

std::size_t HttpReader::head_memory_bytes() const {
  if (!has_head()) return 0;
  return impl_->head_bytes + head().fields.capacity() * sizeof(HttpField);
}

std::size_t HttpReader::buffered_bytes() const { return impl_->buffer.size(); }

void HttpReader::Discard() {
  impl_->buffer = std::string();
  impl_->ResetParser();
}

bool HttpReader::idle() const {
  const std::size_t ignored_bytes =
      impl_->skipped_empty_line ? 0 : impl_->EmptyLineBytes();
  return !has_head() && impl_->buffer.size() == ignored_bytes;
}

}  // namespace pollenledge
