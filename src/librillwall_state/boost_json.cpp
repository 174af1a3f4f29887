/// \file
/// The one place where Boost.JSON is compiled; all others include its headers.

#include <boost/json/src.hpp>
