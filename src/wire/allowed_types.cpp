#include "wire/allowed_types.hpp"

#include <algorithm>

namespace elmstall::wire {

bool AllowedTypes::allows(const std::string& type) const {
  return !names_ || std::find(names_->begin(), names_->end(), type) != names_->end();
}

void AllowedTypes::remove_unknown(const std::function<bool(const std::string&)>& exists) {
  if (!names_) return;
  std::erase_if(*names_, [&](const std::string& type) { return !exists(type); });
}

}  // namespace elmstall::wire
