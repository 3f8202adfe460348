#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pollenledge/connection/caller_close.h"
#include "pollenledge/connection/http_reader.h"
#include "pollenledge/process/byte_budget.h"
#include "pollenledge/time.h"
#include "pollenledge/version/forwarding_tables.h"

namespace pollenledge {

class CallerConnection;

/// What a request's head says about the reading of its body.
struct BodyTerms {
  /// Customer whose memory limit applies; empty: none's.
  std::string customer;
  /// Time until the body must be complete; empty: no bound besides the limits'.
  std::optional<Duration> time_left;
};

/// Callbacks from callers' connections to the server's owner.
struct CallerHandlers {
  /// A whole request was read. The owner must respond on the connection.
  std::function<void(const std::shared_ptr<CallerConnection>&,
                     const HttpHead& head, std::string body)>
      on_request;
  /// The connection was lost or aborted before the response was complete.
  std::function<void(const std::shared_ptr<CallerConnection>&)> on_disconnect;
  /// Returns the limits in force. A request is held to those of its first
  /// byte; an idle connection to the longest since its last request.
  std::function<CallerLimits()> limits;
  /// Longest time from a change of the limits until `limits` returns them.
  /// Callers may follow a change by so much earlier.
  Duration limits_delay{0};
  /// Called with the head of a request whose body is not complete. Optional.
  std::function<BodyTerms(const HttpHead&)> on_head = nullptr;
  /// The output that made `output_is_full` true was taken. Optional.
  std::function<void(const std::shared_ptr<CallerConnection>&)> on_drained =
      nullptr;
  /// Returns the header fields of the response to a request that is refused
  /// with `status` before it is complete. Optional.
  std::function<std::vector<HttpField>(const HttpHead& request, int status)>
      on_refused = nullptr;
  /// The connection was closed, by either side. Optional.
  std::function<void(const CallerConnection&, const CallerClose&)> on_closed =
      nullptr;
  /// Accounts for what the connections hold. Null: nothing is accounted for.
  std::shared_ptr<ByteBudget> budget = nullptr;
  ClientGroup group = ClientGroup::kCallers;
};

/// The server side of one caller's HTTP/1.1 connection, on an event loop. Owns
/// the socket.
///
/// Reads one request at a time and holds back pipelined requests until the
/// response has been sent. Continues to read while a response is pending, so
/// that it notices when the caller closes the connection. Responds to a
/// malformed request with status 400, 413 or 431, to a body that does not
/// arrive in time with 408, and to one that there is no memory for with 503.
/// Then it closes the connection for sending and discards a bounded part of
/// what the caller still sends, so that the response is not lost in a reset.
/// A connection for which the process has no room is answered 503 when the head
/// of its first request has arrived; so many of these are open at a time as
/// `ClientGroup::kRefused` allows.
/// A caller that takes no output for `CallerLimits::idle_timeout` is aborted.
/// Not thread-safe; use it only on the event loop's thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  /// Sizes of the kernel's buffers of each connection. The kernel doubles them
  /// for its own use. All connections together can fill them, so they are far
  /// smaller than the kernel would choose.
  static constexpr int kReceiveBufferBytes = 16 * 1024;
  static constexpr int kSendBufferBytes = 32 * 1024;

  CallerConnection(boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const CallerHandlers> handlers);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Starts to read requests. Returns false, and refuses the first request, if
  /// the process has as many connections as it may.
  bool Start();

  /// Sends a complete response to the current request.
  void SendResponse(const HttpHead& head, std::string body);
  /// Starts a chunked response. `SendChunk` continues it and
  /// `FinishChunkedResponse` completes it.
  void StartChunkedResponse(const HttpHead& head);
  void SendChunk(std::string_view bytes);
  void FinishChunkedResponse();
  /// Resets the connection, so that the caller sees a partially sent response
  /// as incomplete.
  void Abort();

  /// Closes the connection after the next response, which carries
  /// `Connection: close`.
  void CloseAfterResponse();
  /// Closes the connection after the response to the current request, or
  /// immediately if there is no request. A new connection is left open for the
  /// time in which its first request arrives; call this again later.
  void CloseWhenIdle();

  /// True if the caller should take output before more is produced for it.
  /// `CallerHandlers::on_drained` follows.
  bool output_is_full() const { return output_is_full_; }
  /// Sets the customer whose memory limit applies to the current request.
  void SetCustomer(const std::string& customer);
  /// Counts the bytes of the current request's answer that are not sent yet.
  /// Returns false if the process holds too much.
  bool HoldAnswer(std::size_t bytes);

  /// Set by the owner to identify the request in progress; 0 if there is none.
  std::uint64_t request_id = 0;
  bool open() const { return open_; }

 private:
  /// A caller that connects sends its first request within this time.
  static constexpr Duration kFirstRequestTime = std::chrono::milliseconds(500);

  enum class State : std::uint8_t {
    kIdle,
    kReadingRequest,
    kAwaitingResponse,
    /// The response was sent, but the reader still holds its request. What is
    /// read now belongs to the next one.
    kResponseSent,
    /// The request was refused before it was complete. What is read now is
    /// discarded.
    kDiscarding,
  };

  /// Counts the connection in the budget. Returns false if `group` is full.
  bool OpenClient(ClientGroup group);
  /// Waits until bytes arrive, and leaves them to the kernel until they are
  /// handled, so that a look at the socket shows what was not handled yet.
  void Read();
  void OnReadable();
  void OnRead(const boost::system::error_code& error, std::string_view bytes);
  void ProcessInput();
  void RejectMalformed();
  void FinishResponse();
  /// Continues with the request after the one that was responded to.
  void StartNextRequest();
  /// True if a whole request was read and the reader still holds it.
  bool HoldsRequest() const {
    return state_ == State::kAwaitingResponse || state_ == State::kResponseSent;
  }
  /// Checks the head of an incomplete request and the memory for its body.
  /// Returns false if the request was refused.
  bool AdmitHead();
  /// Counts what was received. Returns false if the request was refused.
  bool HoldReceived();
  /// Responds to the incomplete request with `status` and closes the
  /// connection.
  void Refuse(int status);
  void OnDiscarded(std::size_t size);
  /// Makes room for other clients.
  void Evict(ByteBudget::Need need);
  bool TryHold(ByteBudget::Stage stage, std::size_t bytes);
  bool Hold(ByteBudget::Stage stage, std::size_t bytes);
  /// Counts what the reader holds. Returns false if the node holds too much.
  bool HoldReader();
  /// Lets at least `bytes` of a request wait in the kernel, and no fewer than
  /// `kReceiveBufferBytes`.
  void SetReceiveBuffer(std::size_t bytes);
  void UpdateActivity();
  void Send(std::string bytes);
  void Flush();
  void OnWritten(const boost::system::error_code& error, std::size_t size);
  void FinishWriting();
  /// Aborts the connection and tells the owner if a response is pending.
  void GiveUp(CallerCloseCause cause);
  /// True if the caller has sent or taken bytes that the event loop has not
  /// handled yet, so that the connection's state is older than the caller's.
  /// The handler of these bytes follows.
  bool HasUnhandledProgress();
  /// True if the caller has closed the connection, even if bytes that it sent
  /// before are still unread.
  bool HasCallerLeft();
  /// As `HasUnhandledProgress`, of what the budget counts as progress: request
  /// bytes while a request is expected, output taken while output is unsent.
  bool HasUncountedProgress();
  ByteBudget::Activity CurrentActivity() const;
  /// Applies the limits in force to the next request.
  void UpdateLimits();
  /// How long the caller may wait before its next request.
  Duration IdleTimeout() const;
  /// The time by which the caller must have sent or taken more; empty if
  /// nothing is expected of it.
  std::optional<TimePoint> NextDeadline() const;
  void ArmTimer();
  void OnTimer();
  /// Why a connection whose deadline has passed is closed.
  CallerCloseCause TimeoutCause() const;
  /// Closes the connection with a reset.
  void Reset(CallerCloseCause cause);
  void Close(CallerCloseCause cause);
  /// Describes the connection before it is closed.
  CallerClose DescribeClose(CallerCloseCause cause) const;
  std::string SerializeHead(const HttpHead& head) const;

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<const CallerHandlers> handlers_;
  CallerLimits limits_;
  HttpReader reader_;
  State state_ = State::kIdle;
  std::optional<ByteBudget::ClientId> client_;  ///< In the budget.
  std::string customer_;                        ///< As set in the budget.
  TimePoint idle_since_;                        ///< In state `kIdle`.
  TimePoint deadline_;                          ///< In other states.
  std::optional<TimePoint> body_deadline_;      ///< Of the request being read.
  TimePoint output_progress_at_;  ///< When the caller last took output.
  TimePoint read_at_;             ///< When bytes were last read.
  std::optional<TimePoint> armed_deadline_;
  int receive_buffer_bytes_ = kReceiveBufferBytes;
  std::size_t held_body_bytes_ = 0;  ///< Of the request, as in the budget.
  std::size_t discarded_bytes_ = 0;
  bool head_admitted_ = false;
  bool had_request_ = false;  ///< Bytes of a request were received.
  bool has_no_room_ = false;  ///< The first request is refused.
  bool reading_ = false;
  bool open_ = true;
  bool writing_ = false;
  bool close_after_write_ = false;
  bool close_when_idle_ = false;
  bool keep_alive_ = true;
  bool output_is_full_ = false;
  std::deque<std::string> output_;     ///< Not taken by the caller yet.
  std::size_t output_in_flight_ = 0;   ///< Strings of the current write.
  std::size_t output_sent_bytes_ = 0;  ///< Of the first string.
  std::size_t unsent_bytes_ = 0;
};

}  // namespace pollenledge
