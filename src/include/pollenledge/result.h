#pragma once

#include <string>
#include <utility>
#include <variant>

namespace pollenledge {

/// What kind of failure an `Error` reports. Callers branch on the code and
/// show the message to people.
enum class ErrorCode {
  kInvalidArgument,  ///< The input can never succeed as it stands.
  kNotFound,         ///< The named thing does not exist.
  kConflict,         ///< Someone else changed the thing first.
  kUnavailable,      ///< Nothing was done; trying again later may succeed.
  kUnknownOutcome,   ///< The operation may or may not have taken effect.
  kPermissionDenied,
};

/// A failure as a value. `message` says what was found and what is allowed, in
/// a form fit for an operator.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or the reason why there is none.
template <typename T>
using Result = std::variant<T, Error>;

/// A result without a value.
using Status = std::variant<std::monostate, Error>;

/// True if `result` holds a value.
template <typename T>
bool Ok(const std::variant<T, Error>& result) {
  return std::holds_alternative<T>(result);
}

/// The value of a result that is known to be `Ok`.
template <typename T>
T& Value(std::variant<T, Error>& result) {
  return std::get<T>(result);
}
template <typename T>
const T& Value(const std::variant<T, Error>& result) {
  return std::get<T>(result);
}

/// The error of a result that is known not to be `Ok`.
template <typename T>
const Error& ErrorOf(const std::variant<T, Error>& result) {
  return std::get<Error>(result);
}

/// Builds one visitor out of several lambdas, for `std::visit`.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace pollenledge
