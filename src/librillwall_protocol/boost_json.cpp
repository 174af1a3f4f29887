/// \file
/// Compiles the Boost.JSON sources; all other files only include the headers.

#include <boost/json/src.hpp>
