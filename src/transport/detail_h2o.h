#pragma once

// h2o's headers are C without an extern "C" block, and C++17 rejects a few of their conversions as warnings.
#ifndef H2O_USE_LIBUV
#define H2O_USE_LIBUV 0
#endif
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wsign-compare"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
}
#pragma GCC diagnostic pop
