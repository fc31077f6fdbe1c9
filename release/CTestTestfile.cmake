# CMake generated Testfile for 
# Source directory: /work/clones/store
# Build directory: /work/clones/store/release
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
subdirs("src/tier")
subdirs("tests")
