# CMake generated Testfile for 
# Source directory: /work/clones/store/tests/tier
# Build directory: /work/clones/store/release/tests/tier
# 
# This file includes the relevant testing commands required for 
# testing this directory and lists subdirectories to be tested as well.
subdirs("foundation")
subdirs("storage")
subdirs("transport")
subdirs("coordination")
subdirs("configuration")
subdirs("cluster")
subdirs("platform")
subdirs("operator_api")
subdirs("policy")
subdirs("proxy")
subdirs("batch")
