/// @file
/// Admission of submissions: checks whether a well-formed job can ever run in this deployment. A
/// job that can't is rejected at once (422), because it would otherwise wait for ever.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "wire/types.hpp"

namespace elmstall::api {

/// Why a submission is rejected.
enum class RejectionReason : std::uint8_t {
  unknown_team,
  no_allowed_machine_type,  ///< the cloud has none of the machine types that the job allows, or
                            ///< the job allows none
  no_fitting_machine_type,  ///< no allowed machine type is large enough for one task
  above_team_limit,         ///< what must run at once exceeds the team's hard limit
  gang_not_recordable,      ///< the gang's tasks can't all be recorded as started at once
  record_too_large,         ///< the job's record exceeds the state store's limit for a value
};

/// The text that explains the reason to the user.
[[nodiscard]] std::string_view to_text(RejectionReason reason);

/// Checks submissions. All controllers must reach the same decision, so it depends only on the
/// settings, the machine types and the job itself. Does no I/O.
class Admission {
 public:
  /// `settings` has to outlive this object. No submission can be checked yet.
  explicit Admission(const config::Settings& settings) : settings_(settings) {}

  /// Replaces the machine types that the cloud offers.
  void set_machine_types(const std::vector<wire::MachineType>& machine_types) {
    machine_types_ = machine_types;
  }
  /// Before the machine types are known no submission can be checked.
  [[nodiscard]] bool machine_types_known() const { return !machine_types_.empty(); }

  /// Checks the job and removes from it the allowed machine types that the cloud does not have.
  /// Returns the first reason to reject it, std::nullopt if the job is admitted.
  /// `submitted_at`: wall-clock time that will be recorded with the job, seconds since 1970.
  [[nodiscard]] std::optional<RejectionReason> check(wire::JobSpec& spec,
                                                     double submitted_at) const;

 private:
  void remove_unknown_machine_types(wire::JobSpec& spec) const;
  [[nodiscard]] bool task_fits_some_machine_type(const wire::JobSpec& spec) const;
  [[nodiscard]] std::optional<RejectionReason> check_record_size(const wire::JobSpec& spec,
                                                                 double submitted_at) const;

  const config::Settings& settings_;
  std::vector<wire::MachineType> machine_types_;
};

}  // namespace elmstall::api
