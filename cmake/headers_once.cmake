# Most sources read Asio or the JSON library, each test GoogleTest: they are compiled once here, and every target of the
# build starts from that. For the suite's instrumented builds; what is shipped is built without it, so a source that
# forgets an include fails there. A target stays out by its property DISABLE_PRECOMPILE_HEADERS.
add_library(flaxdoor_headers_once OBJECT ${CMAKE_CURRENT_LIST_DIR}/headers_once.cpp)
target_link_libraries(flaxdoor_headers_once PRIVATE Boost::headers nlohmann_json::nlohmann_json Threads::Threads)
target_precompile_headers(flaxdoor_headers_once PRIVATE <algorithm> <array> <chrono> <cstdint> <deque> <functional>
  <map> <memory> <optional> <random> <set> <span> <sstream> <string> <string_view> <thread> <unordered_map>
  <utility> <variant> <vector> <boost/asio.hpp> <nlohmann/json.hpp>)
if(FLAXDOOR_TESTS)
  find_package(GTest REQUIRED)
  target_link_libraries(flaxdoor_headers_once PRIVATE GTest::gtest)
  target_precompile_headers(flaxdoor_headers_once PRIVATE <gtest/gtest.h>)
endif()

function(flaxdoor_use_headers_once folder)
  get_property(targets DIRECTORY ${folder} PROPERTY BUILDSYSTEM_TARGETS)
  foreach(target ${targets})
    get_target_property(type ${target} TYPE)
    get_target_property(out ${target} DISABLE_PRECOMPILE_HEADERS)
    if(NOT out AND type MATCHES "^(STATIC_LIBRARY|OBJECT_LIBRARY|EXECUTABLE)$" AND NOT target STREQUAL flaxdoor_headers_once)
      set_property(TARGET ${target} PROPERTY PRECOMPILE_HEADERS)
      target_precompile_headers(${target} REUSE_FROM flaxdoor_headers_once)
    endif()
  endforeach()
  get_property(folders DIRECTORY ${folder} PROPERTY SUBDIRECTORIES)
  foreach(below ${folders})
    flaxdoor_use_headers_once(${below})
  endforeach()
endfunction()
flaxdoor_use_headers_once(${PROJECT_SOURCE_DIR})
