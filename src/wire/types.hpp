// The messages of the protocol as value types, one file for each interface. The
// wire's own field names appear only in this package.
#pragma once

#include "wire/cloud.hpp"
#include "wire/jobs.hpp"
#include "wire/state.hpp"
#include "wire/workers.hpp"
