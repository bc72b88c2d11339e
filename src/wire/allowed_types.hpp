/// @file
/// The machine types that a job allows. The decoder makes one value of this type of the submission,
/// and everything up to the placement asks that value, so "any type" and "none" can't be confused.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace elmstall::wire {

/// Either any machine type, or those of a list. A list without elements allows no type.
class AllowedTypes {
 public:
  /// Allows any machine type.
  AllowedTypes() = default;
  /// Allows any machine type.
  [[nodiscard]] static AllowedTypes any() { return {}; }
  /// Allows the types with these names and no other.
  [[nodiscard]] static AllowedTypes only(std::vector<std::string> names) {
    return AllowedTypes(std::move(names));
  }

  /// Whether the tasks of the job may run on machines of this type.
  [[nodiscard]] bool allows(const std::string& type) const;
  /// Whether no machine type can be allowed.
  [[nodiscard]] bool none() const { return names_ && names_->empty(); }
  /// The names of the allowed types, or null if any type is allowed.
  [[nodiscard]] const std::vector<std::string>* names() const {
    return names_ ? &*names_ : nullptr;
  }
  /// Removes the named types for which `exists` is false. Has no effect if any type is allowed.
  void remove_unknown(const std::function<bool(const std::string&)>& exists);

  /// Whether both name the same types in the same order, or both allow any.
  [[nodiscard]] bool operator==(const AllowedTypes& other) const = default;

 private:
  explicit AllowedTypes(std::vector<std::string> names) : names_(std::move(names)) {}

  std::optional<std::vector<std::string>> names_;  ///< nothing: any type
};

}  // namespace elmstall::wire
