/// \file
/// Finds jobs that wait although the fleet has room for them.
#pragma once

#include <string>
#include <vector>

namespace elmstall::test {

class World;

/// Ids of accepted jobs that wait although a machine that fits has room and their team is below its
/// limit. Gangs are left out: they need room for all their tasks at once.
[[nodiscard]] std::vector<std::string> jobs_waiting_despite_capacity(const World& world);

}  // namespace elmstall::test
