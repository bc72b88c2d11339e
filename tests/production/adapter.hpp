/// \file
/// Runs controllers of the production version in the test world.
#pragma once

#include "support/world.hpp"

namespace elmstall::test {

/// Starts a controller of the production version that uses these ports.
[[nodiscard]] std::unique_ptr<OtherNode> make_production_node(const OtherNodePorts& ports);

}  // namespace elmstall::test
