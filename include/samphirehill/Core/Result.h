// Errors as values. A function that can fail returns Result<T>; an Error names
// the value, the limit and the rule that it breaks.
#ifndef SAMPHIREHILL_CORE_RESULT_H
#define SAMPHIREHILL_CORE_RESULT_H

#include "samphirehill/Core/ResultCode.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace samphirehill {

// A numbered code and a sentence for a person.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Message;

  bool operator==(const Error &) const = default;
};

template <typename T> using Result = boost::leaf::result<T>;

// Returns an error that converts to any Result<T>.
inline boost::leaf::error_id fail(ResultCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

// A value or an Error, for storing and for passing between callbacks. A LEAF
// result can't be stored: its error objects live only inside a handler.
template <typename T> using Outcome = std::variant<T, Error>;

namespace detail {
template <typename R> struct ResultValue;
template <typename T> struct ResultValue<Result<T>> { using Type = T; };
template <typename F>
using ReturnedValue = typename ResultValue<std::invoke_result_t<F>>::Type;
} // namespace detail

// Runs Function, which returns Result<T>, and returns its value or its Error.
template <typename F> Outcome<detail::ReturnedValue<F>> capture(F &&Function) {
  using T = detail::ReturnedValue<F>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<T>> {
        Result<T> Value = std::forward<F>(Function)();
        if (!Value)
          return Value.error();
        return Outcome<T>(std::in_place_index<0>, std::move(Value.value()));
      },
      [](const Error &Caught) {
        return Outcome<T>(std::in_place_index<1>, Caught);
      },
      [] {
        return Outcome<T>(std::in_place_index<1>,
                          Error{ResultCode::Internal, "unspecified error"});
      });
}

// Returns the error of Value, or nullptr if it holds a T.
template <typename T> const Error *errorOf(const Outcome<T> &Value) {
  return std::get_if<1>(&Value);
}

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_RESULT_H
