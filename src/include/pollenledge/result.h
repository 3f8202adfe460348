#pragma once

#include <string>
#include <utility>
#include <variant>

namespace pollenledge {

/// Category of an `Error`. Code branches on the category; the message is for
/// people.
enum class ErrorCode {
  kInvalidArgument,  ///< The input is invalid; a retry cannot succeed.
  kNotFound,         ///< The named object does not exist.
  kConflict,         ///< A concurrent change came first.
  kUnavailable,      ///< Nothing was done; a later retry may succeed.
  kUnknownOutcome,   ///< The operation may or may not have taken effect.
  kPermissionDenied,
};

/// A failure as a value. `message` states for an operator which value was found
/// and which values are allowed.
struct Error {
  ErrorCode code = ErrorCode::kInvalidArgument;
  std::string message;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or an error.
template <typename T>
using Result = std::variant<T, Error>;

/// A result without a value.
using Status = std::variant<std::monostate, Error>;

/// True if `result` holds a value.
template <typename T>
bool Ok(const std::variant<T, Error>& result) {
  return std::holds_alternative<T>(result);
}

/// Returns the value of `result`. Throws `std::bad_variant_access` if `result`
/// holds an error.
template <typename T>
T& Value(std::variant<T, Error>& result) {
  return std::get<T>(result);
}
template <typename T>
const T& Value(const std::variant<T, Error>& result) {
  return std::get<T>(result);
}

/// Returns the error of `result`. Throws `std::bad_variant_access` if `result`
/// holds a value.
template <typename T>
const Error& ErrorOf(const std::variant<T, Error>& result) {
  return std::get<Error>(result);
}

/// Combines several lambdas into one visitor for `std::visit`.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace pollenledge
