/// @file
/// Recovery of the leader's state after an election. Runs on the controller's event loop.
#pragma once

#include "reconcile/job_lifecycle.hpp"
#include "reconcile/lease_expiry.hpp"
#include "state/model.hpp"
#include "store/mirror.hpp"

namespace elmstall::reconcile {

/// Rebuilds the model from the records: machines first, then unfinished jobs with
/// the assignments of their tasks. A task that a machine may still run is not moved
/// before the machine is synchronized or its lease is over (docs/design.md,
/// rules 3 and 6).
void restore_from_records(const store::Mirror& mirror, const LeaseExpiry& lease_expiry,
                          state::Model& model, JobLifecycle& jobs);

}  // namespace elmstall::reconcile
