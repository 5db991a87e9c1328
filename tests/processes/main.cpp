/// \file
/// Entry point of the tests that start processes.
#define BOOST_TEST_DYN_LINK
#define BOOST_TEST_MODULE processes
#include <boost/test/unit_test.hpp>
