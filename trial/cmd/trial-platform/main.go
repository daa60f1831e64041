// Command trial-platform is a stand-in of the platform for trials and tests.
package main

func main() {}
