# Installs the build into a fresh prefix, builds host programs against it in separate folders, and runs them: with CMake
# and each available compiler, with pkg-config, and the decision module alone without Boost.
file(REMOVE_RECURSE ${WORK})

function(step)
  execute_process(COMMAND ${ARGN} RESULT_VARIABLE result OUTPUT_VARIABLE output ERROR_VARIABLE output)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "${ARGN}: ${output}")
  endif()
  set(output "${output}" PARENT_SCOPE)
endfunction()

function(expect program wanted)
  step(${program})
  if(NOT output MATCHES "${wanted}")
    message(FATAL_ERROR "${program} printed unexpected output: ${output}")
  endif()
endfunction()

set(module "^request 7 to upstream 4[12]\nrequest 7 to upstream 4[12]\nretried elsewhere\n$")
set(library "^refused, no room\nrefused, no room\n$")

step(${CMAKE_COMMAND} --install ${BUILD} --prefix ${WORK}/prefix)
foreach(compiler g++ clang++)
  find_program(found_${compiler} ${compiler})
  if(found_${compiler})
    set(folder ${WORK}/${compiler})
    step(${CMAKE_COMMAND} -S ${SOURCE} -B ${folder} -DCMAKE_PREFIX_PATH=${WORK}/prefix -DCMAKE_CXX_COMPILER=${found_${compiler}}
      -DCMAKE_CXX_STANDARD=20)
    step(${CMAKE_COMMAND} --build ${folder})
    expect(${folder}/embed "${module}")
    expect(${folder}/host "${library}")
  endif()
endforeach()

# The decision module needs neither Boost nor threads.
set(folder ${WORK}/module)
step(${CMAKE_COMMAND} -S ${SOURCE} -B ${folder} -DCMAKE_PREFIX_PATH=${WORK}/prefix -DWITH_BALANCER=OFF
  -DCMAKE_DISABLE_FIND_PACKAGE_Boost=ON)
step(${CMAKE_COMMAND} --build ${folder})
expect(${folder}/embed "${module}")

# With pkg-config, after the prefix has been moved.
file(RENAME ${WORK}/prefix ${WORK}/moved)
find_program(pkg_config NAMES pkg-config pkgconf REQUIRED)
file(GLOB_RECURSE pc ${WORK}/moved/*/flaxdoor-balancer.pc)
get_filename_component(pc "${pc}" DIRECTORY)
set(ENV{PKG_CONFIG_PATH} ${pc})
step(${pkg_config} --cflags --libs flaxdoor-balancer)
separate_arguments(flags UNIX_COMMAND "${output}")
step(${found_g++} ${SOURCE}/host.cpp -o ${WORK}/host ${flags})
expect(${WORK}/host "${library}")

# The public headers include Asio, but none of the libraries that only the implementation uses.
step(${found_g++} -std=c++20 -I ${WORK}/moved/include -M ${SOURCE}/host.cpp)
if(output MATCHES "[^ ]*(beast|nlohmann|toml)[^ ]*" OR NOT output MATCHES "boost/asio")
  message(FATAL_ERROR "the public headers must include boost/asio and no private dependency, but found: ${CMAKE_MATCH_0}")
endif()
