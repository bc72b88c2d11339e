/// @file
/// Ranking of machines for one task of a job that is placed directly. Free of side effects.
#pragma once

#include "state/model.hpp"

namespace elmstall::placement {

/// Score of the machine for the job's next task; higher is better. One point corresponds to one
/// second of waiting for the image.
[[nodiscard]] double machine_score(const state::Model& model, const state::Job& job,
                                   const state::Machine& machine);

}  // namespace elmstall::placement
