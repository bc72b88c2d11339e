/// @file
/// Everything about the records in the state store: keys, types, encodings and sizes.
#pragma once

#include "store/keys.hpp"
#include "store/ledger_codec.hpp"
#include "store/record_codec.hpp"
#include "store/record_sizes.hpp"
#include "store/record_types.hpp"
