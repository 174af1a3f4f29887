/// \file
/// Compiles the Boost.JSON sources, so that other files only include headers.

#include <boost/json/src.hpp>
