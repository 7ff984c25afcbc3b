// The headers that cmake/headers_once.cmake names are compiled with this file.
