#include "pollenledge/connection/http.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>

#include <istream>

namespace pollenledge {
namespace {

Error CallError(const HttpCall& call, bool sent, const std::string& reason) {
  return {
      sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
      call.method + " " + call.path + " at " + call.address + ": " + reason};
}

bool ReadBody(std::istream& in, std::size_t max_bytes, std::string* body) {
  char buffer[16 * 1024];
  while (in.good()) {
    in.read(buffer, sizeof buffer);
    body->append(buffer, static_cast<std::size_t>(in.gcount()));
    if (body->size() > max_bytes) return false;
  }
  return true;
}

}  // namespace

Result<HttpResponse> MakeHttpCall(const HttpCall& call, std::size_t max_bytes) {
  bool sent = false;
  try {
    const Poco::Net::SocketAddress address(call.address);
    Poco::Net::HTTPClientSession session(address);
    session.setTimeout(Poco::Timespan(call.timeout.count()));
    Poco::Net::HTTPRequest request(call.method, call.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : call.headers) request.set(name, value);
    if (!call.body.empty() || call.method == "POST") {
      request.setContentLength(static_cast<std::streamsize>(call.body.size()));
    }
    std::ostream& out = session.sendRequest(request);
    sent = true;
    out << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    std::istream& in = session.receiveResponse(response);
    HttpResponse result;
    result.status = response.getStatus();
    result.content_type = response.getContentType();
    if (!ReadBody(in, max_bytes, &result.body)) {
      return CallError(call, true, "response is too large");
    }
    const bool is_truncated = response.hasContentLength() &&
                              static_cast<std::int64_t>(result.body.size()) <
                                  response.getContentLength64();
    if (is_truncated) return CallError(call, true, "response was truncated");
    return result;
  } catch (const Poco::Exception& error) {
    return CallError(call, sent, error.displayText());
  } catch (const std::exception& error) {
    return CallError(call, sent, error.what());
  }
}

}  // namespace pollenledge
