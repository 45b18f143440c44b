#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#define AH_CONCAT_INNER(a, b) a##b
#define AH_CONCAT(a, b) AH_CONCAT_INNER(a, b)

/// Returns from the enclosing function if the absl::Status expression is an error.
#define TRY_STATUS(expression)                                                                     \
  do {                                                                                             \
    if (absl::Status try_status = (expression); !try_status.ok()) {                                \
      return try_status;                                                                           \
    }                                                                                              \
  } while (false)

// The declaration cannot be put in parentheses.
// NOLINTBEGIN(bugprone-macro-parentheses)
#define AH_TRY_ASSIGN(holder, declaration, expression)                                             \
  auto holder = (expression);                                                                      \
  if (!holder.ok()) {                                                                              \
    return holder.status();                                                                        \
  }                                                                                                \
  declaration = std::move(holder).value()
// NOLINTEND(bugprone-macro-parentheses)

/// Declares a variable from an absl::StatusOr expression, or returns its error.
#define TRY_ASSIGN(declaration, expression)                                                        \
  AH_TRY_ASSIGN(AH_CONCAT(try_holder_, __LINE__), declaration, expression)
