#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "pollenledge/connection/client_connection.h"
#include "pollenledge/connection/forwarding_codec.h"
#include "pollenledge/time.h"

namespace pollenledge {

/// What an upstream's report shows, asked for after the connection of a
/// response had ended.
enum class ResponseEndProof : std::uint8_t {
  kSameIncarnation,   ///< The process that sent the response lives on.
  kLivingProcess,     ///< A process responds there, but does not say which.
  kOtherIncarnation,  ///< Another process has taken its place.
  kNoProcess,         ///< No process accepts connections there.
  kNoAnswer,          ///< The process gave no usable answer in time.
};

/// Returns the name of `proof` as used in logs and metrics.
const char* ToString(ResponseEndProof proof);

/// How a call for an upstream's report ended.
struct ReportCall {
  ClientExchangeResult end = ClientExchangeResult::kNotSent;
  int status = 0;                            ///< 0 if there was no response.
  std::optional<std::uint64_t> incarnation;  ///< That the report states.
};

/// Returns what the call shows about the process of `expected_incarnation`,
/// which is 0 if it is not known.
ResponseEndProof AssessReportCall(std::uint64_t expected_incarnation,
                                  const ReportCall& call);

/// Returns true if the orderly end of a connection is the end of its response.
/// `may_be_old`: the end may have been received long before it was handled, so
/// that another process may have started since.
bool IsWholeAtClose(ResponseEndProof proof, bool may_be_old);

/// Returns true if the process that sent the response has ended, so that it
/// counts as lost. Without an answer nothing is known about it.
bool ShowsEndedProcess(ResponseEndProof proof);

/// Finds out whether upstreams still live after the connections of their
/// responses have ended. The kernel of a killed process ends its connections in
/// order if the process had read all that it had received, so that a response
/// without a length looks whole wherever it was broken off.
///
/// Asks for the upstream's report on a new connection each time: only a process
/// that lives then can respond. Not thread-safe; everything runs on the loop's
/// thread.
class ResponseEndVerifier {
 public:
  using Callback = std::function<void(ResponseEndProof)>;

  /// `codec` must outlive the verifier.
  ResponseEndVerifier(boost::asio::io_context& loop,
                      const ForwardingCodec& codec);
  /// Ends all calls without calling back.
  ~ResponseEndVerifier();
  ResponseEndVerifier(const ResponseEndVerifier&) = delete;
  ResponseEndVerifier& operator=(const ResponseEndVerifier&) = delete;

  /// Asks the upstream at `address` for its report. The request was sent at
  /// `sent_at`, to the process of `listed_incarnation` (0: not known) or of an
  /// incarnation that was reported there before. Calls `callback` once, after
  /// a bounded time.
  void Verify(const std::string& address, std::uint64_t listed_incarnation,
              TimePoint sent_at, Callback callback);

 private:
  struct Call;
  /// An incarnation that reported itself at an address.
  struct Reported {
    std::uint64_t incarnation = 0;
    TimePoint first_at;
    TimePoint last_at;
  };

  /// Returns true if `incarnation` reported itself at the call's address before
  /// the request was sent. The list of upstreams may lag behind; a process that
  /// was there before and is there after the end has been there all the time.
  bool WasThere(const Call& call, std::uint64_t incarnation) const;
  void RecordReport(const std::string& address, std::uint64_t incarnation,
                    TimePoint now);
  ExchangeHandlers HandlersOf(const std::shared_ptr<Call>& call);
  /// Ends `call` after `timeout`, unless its response is being read then.
  void ArmTimeout(const std::shared_ptr<Call>& call, Duration timeout);
  void Finish(const std::shared_ptr<Call>& call, ClientExchangeResult end);

  boost::asio::io_context& loop_;
  const ForwardingCodec& codec_;
  std::set<std::shared_ptr<Call>> calls_;
  std::map<std::string, Reported> reported_;  ///< By address.
};

}  // namespace pollenledge
