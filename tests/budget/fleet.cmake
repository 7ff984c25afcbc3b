# Tests with real processes and faults between them, and their judge: ctest -L budget.
# FLAXDOOR_BUDGET_LONG=SEEDS runs more seeds.
set(here ${CMAKE_CURRENT_LIST_DIR})

# Shares no code with the code under test.
add_library(flaxdoor_budget_judge STATIC ${here}/judge.cpp)
target_include_directories(flaxdoor_budget_judge PUBLIC ${here})
target_link_libraries(flaxdoor_budget_judge PUBLIC nlohmann_json::nlohmann_json)

add_executable(budget_judge_test ${here}/judge_test.cpp)
target_link_libraries(budget_judge_test PRIVATE flaxdoor_budget_judge GTest::gtest_main)
gtest_discover_tests(budget_judge_test PROPERTIES LABELS budget TIMEOUT 60)

add_executable(budget_fleet_test ${here}/fleet.cpp ${here}/fleet_test.cpp)
target_link_libraries(budget_fleet_test PRIVATE flaxdoor_budget_judge flaxdoor_standins GTest::gtest_main)
target_compile_definitions(budget_fleet_test PRIVATE BUDGET_COMMAND="$<TARGET_FILE:flaxdoor_cli>"
  BUDGET_BALANCER="$<TARGET_FILE:flaxdoor_balancer>")
add_dependencies(budget_fleet_test flaxdoor_cli flaxdoor_balancer)
# The tests run one at a time, since each runs up to 14 processes. They have a single label, since
# gtest_discover_tests splits a list into properties. `ctest -L budget` selects them too, since it matches a
# part of the label. They depend on real time between processes, so they run with the programs as shipped and
# not with sanitizers, which slow them.
if(NOT FLAXDOOR_SANITIZE AND NOT FLAXDOOR_TSAN)
  gtest_discover_tests(budget_fleet_test PROPERTIES LABELS budget_fleet TIMEOUT 300 RESOURCE_LOCK budget_fleet PROCESSORS 4)
endif()
