/// \file
/// Compiles Boost.JSON, once for the whole program.

#include <boost/json/src.hpp>
